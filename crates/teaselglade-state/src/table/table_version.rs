//! Accepted version of the table.

use teaselglade_core::time::Timestamp;
use teaselglade_wire::{TablePublication, TableSnapshot};

teaselglade_core::value_type! {
    /// Accepted version of the table.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_state::table::TableVersion;
    ///
    /// let empty = TableVersion::default();
    /// assert_eq!(empty.version, 0);
    /// ```
    #[derive(Default)]
    pub struct TableVersion {
        /// Number of the version; 0 before the first publication.
        pub version: u64,
        /// Id of the publication that created the version.
        pub id: String,
        /// Version that this version is based on.
        pub base: u64,
        /// Name of the author.
        pub author: String,
        /// The table as comma-separated values.
        pub csv: String,
        /// Time of the publication, on the author's clock.
        pub published: Timestamp,
    }
}

impl TableVersion {
    /// Creates the version that an accepted publication becomes.
    pub(super) fn from_publication(version: u64, publication: TablePublication) -> Self {
        Self {
            version,
            id: publication.id,
            base: publication.base,
            author: publication.author,
            csv: publication.csv,
            published: Timestamp::from_millis(publication.published_ms),
        }
    }

    /// Returns a snapshot of the version that covers the log before offset `through`.
    #[must_use]
    pub fn to_snapshot(&self, cluster: &str, through: u64) -> TableSnapshot {
        TableSnapshot {
            cluster: cluster.to_owned(),
            version: self.version,
            through,
            id: self.id.clone(),
            base: self.base,
            author: self.author.clone(),
            csv: self.csv.clone(),
            published_ms: self.published.as_millis(),
        }
    }
}

impl From<TableSnapshot> for TableVersion {
    fn from(snapshot: TableSnapshot) -> Self {
        Self {
            version: snapshot.version,
            id: snapshot.id,
            base: snapshot.base,
            author: snapshot.author,
            csv: snapshot.csv,
            published: Timestamp::from_millis(snapshot.published_ms),
        }
    }
}
