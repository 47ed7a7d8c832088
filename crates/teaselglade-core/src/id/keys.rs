//! Keys of arena entries, valid only within one process.

crate::arena_key! {
    /// Key of a hardware class, such as an accelerator card model.
    pub struct ClassKey(u16);
}

crate::arena_key! {
    /// Key of an entry host.
    pub struct HostKey(u32);
}

crate::arena_key! {
    /// Key of an organisation.
    pub struct OrganisationKey(u16);
}

crate::arena_key! {
    /// Key of a backend server.
    pub struct ServerKey(u32);
}

crate::arena_key! {
    /// Key of a service.
    pub struct ServiceKey(u16);
}

crate::arena_key! {
    /// Key of a zone.
    pub struct ZoneKey(u16);
}
