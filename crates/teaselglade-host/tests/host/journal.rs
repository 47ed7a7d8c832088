//! Rate limit of log lines about requests, and the queue in front of a slow reader.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_host::journal::{LineBudget, LineQueue, MAX_SUMMARY_IDS};

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

#[test]
fn lines_at_the_end_are_neither_suppressed_nor_left_out_of_the_summary() {
    let mut budget = LineBudget::new(LINES_PER_SECOND);
    let now = Timestamp::from_millis(1_000);
    let written = (0..1_000).filter(|_| budget.allows(now, "refused", "9c41"));
    let written = written.count() as u64;
    budget.take_summary(now);
    assert!(!budget.allows(now, "answered", "00aa"));
    let rest = budget.lift();
    assert_eq!(rest["answered"].ids, ["00aa"]);
    assert!(written < 1_000);
    assert!((0..1_000).all(|_| budget.allows(now, "answered", "00bb")));
}

/// Output whose reader takes a line only when the test says so.
struct SlowOutput {
    permits: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        // Once the test has dropped the sender, every line is taken.
        let _permit = self.permits.recv();
        self.written.lock().expect("no panic").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

fn start_slow_output(queue: &Arc<LineQueue>) -> (Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, permits) = channel();
    let written = Arc::new(Mutex::default());
    let output = SlowOutput {
        permits,
        written: Arc::clone(&written),
    };
    let queue = Arc::clone(queue);
    thread::spawn(move || queue.write_to(output));
    (sender, written)
}

#[test]
fn a_closed_queue_counts_the_lines_that_a_stopped_reader_did_not_take() {
    let queue = Arc::new(LineQueue::new(10));
    let (permits, _written) = start_slow_output(&queue);
    for _ in 0..4 {
        queue.push(b"line\n".to_vec());
    }
    assert_eq!(queue.close(Duration::from_millis(20)), 4);
    drop(permits);
}

#[test]
fn a_closed_queue_has_written_every_line_in_order() {
    let queue = Arc::new(LineQueue::new(10));
    let (permits, written) = start_slow_output(&queue);
    drop(permits);
    for line in ["1\n", "2\n", "3\n"] {
        queue.push(line.as_bytes().to_vec());
    }
    assert_eq!(queue.close(Duration::from_secs(30)), 0);
    assert_eq!(*written.lock().expect("no panic"), b"1\n2\n3\n");
}

#[test]
fn a_full_queue_has_room_for_the_lines_of_a_stop() {
    let queue = LineQueue::new(2);
    (0..5).for_each(|_| queue.push(b"line\n".to_vec()));
    assert_eq!(queue.dropped_lines(), 3);
    queue.reserve(4);
    (0..4).for_each(|_| queue.push(b"line\n".to_vec()));
    assert_eq!(queue.dropped_lines(), 3);
}
