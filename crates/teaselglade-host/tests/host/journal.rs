//! Bounds of the lines about requests.

use teaselglade_core::time::Timestamp;
use teaselglade_host::journal::{LineBudget, MAX_SUMMARY_IDS};

const LINES_PER_SECOND: f64 = 60.0;

#[test]
fn a_burst_of_refusals_stays_within_the_bound_and_keeps_its_ids() {
    let mut budget = LineBudget::new(LINES_PER_SECOND);
    let (mut written, mut summed, mut named) = (0_u64, 0, 0);
    // Ten seconds with a thousand refusals each.
    for index in 0..10_000_u64 {
        let now = Timestamp::from_millis(1_000 + index);
        written += u64::from(budget.allows(now, "refused", &format!("{index:016x}")));
        for lines in budget.take_summary(now).values() {
            summed += lines.count;
            named += lines.ids.len();
            assert!(lines.ids.len() <= MAX_SUMMARY_IDS);
        }
    }
    assert!(
        written as f64 <= LINES_PER_SECOND * 10.0 + 240.0,
        "{written}"
    );
    assert!(
        written + summed >= 9_000,
        "the rest waits for the next summary"
    );
    assert!(named >= 9 * MAX_SUMMARY_IDS, "{named}");
}

#[test]
fn the_usual_load_is_written_line_by_line() {
    let mut budget = LineBudget::new(LINES_PER_SECOND);
    for index in 0..5_000_u64 {
        let now = Timestamp::from_millis(1_000 + index * 20);
        assert!(budget.allows(now, "placed", "id"), "line {index}");
    }
}
