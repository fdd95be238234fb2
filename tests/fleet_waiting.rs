//! Requests that wait at an entry for a slot.

use basilfield::fleet::waiting;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against requests that wait although no slot can be free in time, that lose their turn, or
/// that get a slot after they have left or waited too long.
#[test]
fn slots_pass_to_requests_in_order_of_arrival() {
    let mut queue = waiting::Queue::default();
    let limit = ms(180);
    let mut seen = vec![format!("unknown run time {:?}", queue.join(ms(0), limit, 5))];
    queue.release(ms(10), ms(800));
    seen.push(format!("nothing runs {:?}", queue.join(ms(20), limit, 0)));
    // Ten running requests release a slot every 80 ms.
    let joined: Vec<_> = (0..3).map(|_| queue.join(ms(20), limit, 10)).collect();
    seen.push(format!("{joined:?}"));
    queue.leave(1);
    seen.push(format!("next {:?}", queue.release(ms(100), ms(800))));
    let late = queue.join(ms(110), limit, 10);
    seen.push(format!("{late:?}, too late {:?}", queue.release(ms(291), ms(800))));
    insta::assert_snapshot!(seen.join("\n"), @r"
    unknown run time None
    nothing runs None
    [Some(1), Some(2), None]
    next Some(2)
    Some(3), too late None
    ");
}
