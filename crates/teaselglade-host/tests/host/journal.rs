//! Rate limit of log lines about requests.

use teaselglade_core::time::Timestamp;
use teaselglade_host::journal::{LineBudget, MAX_SUMMARY_IDS};

const LINES_PER_SECOND: f64 = 60.0;

#[test]
fn a_burst_of_refusals_stays_within_the_bound_and_keeps_its_ids() {
    let mut budget = LineBudget::new(LINES_PER_SECOND);
    let (mut written, mut summarised, mut summarised_ids) = (0_u64, 0, 0);
    // 1,000 refusals per second for 10 s.
    for index in 0..10_000_u64 {
        let now = Timestamp::from_millis(1_000 + index);
        written += u64::from(budget.allows(now, "refused", &format!("{index:016x}")));
        for lines in budget.take_summary(now).values() {
            summarised += lines.count;
            summarised_ids += lines.ids.len();
            assert!(lines.ids.len() <= MAX_SUMMARY_IDS);
        }
    }
    assert!(
        written as f64 <= LINES_PER_SECOND * 10.0 + 240.0,
        "{written}"
    );
    assert!(
        written + summarised >= 9_000,
        "the rest waits for the next summary"
    );
    assert!(summarised_ids >= 9 * MAX_SUMMARY_IDS, "{summarised_ids}");
}

#[test]
fn the_usual_load_is_written_line_by_line() {
    let mut budget = LineBudget::new(LINES_PER_SECOND);
    for index in 0..5_000_u64 {
        let now = Timestamp::from_millis(1_000 + index * 20);
        assert!(budget.allows(now, "placed", "id"), "line {index}");
    }
}
