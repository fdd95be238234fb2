//! Exhaustive exploration of the specifications of item leases, cancel and claims.
//!
//! Run with `--nocapture` to print the number of states and the traces of the broken variants.

#[path = "models/claims.rs"]
mod claims;
#[path = "models/leases.rs"]
mod leases;

use claims::ClaimFault;
use claims::ClaimSpec;
use leases::LeaseFault;
use leases::LeaseSpec;
use leases::Spec;

/// Expects the broken variant to violate the invariant and prints its shortest trace.
fn expect_violation<S: Spec>(name: &str, spec: &S, invariant: &str) {
    let violation =
        leases::explore(spec).expect_err("the broken variant should violate an invariant");
    println!("{name}: {}", violation.invariant);
    for step in &violation.trace {
        println!("  {step}");
    }
    assert_eq!(violation.invariant, invariant);
}

/// Guards against a second completion, a completion after a cancel, and a second live lease of an
/// item, in any order of events with up to two changes of leader.
#[test]
fn leases_hold() {
    let count = leases::explore(&LeaseSpec { fault: LeaseFault::None, max_changes: 2 });
    let count = count.expect("the specification should have no violation");
    println!("leases: {count} states");
    assert!(count > 10_000, "the bounds allow only {count} states");
}

/// Guards against a call that runs twice, in any order of events with three entries.
#[test]
fn claims_hold() {
    let count = leases::explore(&ClaimSpec { fault: ClaimFault::None })
        .expect("the specification should have no violation");
    println!("claims: {count} states");
    assert!(count > 10_000, "the bounds allow only {count} states");
}

/// Guards against a lease specification that cannot detect a violation.
#[test]
fn broken_leases_are_found() {
    let cases = [
        (LeaseFault::NoCompare, "at most one completion per item"),
        (LeaseFault::CancelAtPropose, "no completion after a committed cancel"),
        (LeaseFault::NoAnnouncements, "at most one live lease per item"),
        (LeaseFault::NoSelfStop, "at most one live lease per item"),
        (LeaseFault::OldGrants, "at most one live lease per item"),
    ];
    for (fault, invariant) in cases {
        expect_violation(&format!("{fault:?}"), &LeaseSpec { fault, max_changes: 2 }, invariant);
    }
}

/// Guards against a claim specification that cannot detect a violation.
#[test]
fn broken_claims_are_found() {
    let faults = [
        ClaimFault::DispatchFirst,
        ClaimFault::NoWithdrawal,
        ClaimFault::NoTombstone,
        ClaimFault::SettleAny,
    ];
    for fault in faults {
        let spec = ClaimSpec { fault };
        expect_violation(&format!("{fault:?}"), &spec, "at most one dispatch per claim");
    }
}
