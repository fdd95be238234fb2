//! Random faults on three replicas: loss, duplication, reordering, crashes in the middle of a
//! batch, lost disks, frozen hosts and isolated hosts.
//!
//! [`network::Network`] checks on every step that each term has one leader, that committed entries
//! do not change and that reads are not stale. At the end, the healed group must converge.

mod network;

use basilfield::replica;
use network::Network;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const HOST_COUNT: usize = 3;

#[derive(Clone, Debug)]
enum Fault {
    Run(u32),
    /// Proposes commands at every host, so that replicas that wrongly act as leader get them too.
    Propose(u32),
    /// Asks every host for a read.
    Read,
    /// Kills a host after it has saved the given number of outputs of its current batch.
    Kill(usize, usize),
    /// Kills the leader in the same way.
    KillLeader(usize),
    /// Kills a host and replaces its disk, if redundancy is complete.
    LoseDisk(usize),
    Freeze(usize),
    Isolate(usize),
    /// Unfreezes, reconnects and starts a host.
    Heal(usize),
    /// Sets the loss, duplication and delay of messages; see [`network::Faults`].
    Network(u32, u32, u32),
}

/// Sequence of faults. There is no reference model: [`Network`] checks the invariants.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Fault> {
        let host = 0..HOST_COUNT;
        prop_oneof![
            12 => (1..100u32).prop_map(Fault::Run),
            6 => (1..20u32).prop_map(Fault::Propose),
            3 => Just(Fault::Read),
            2 => (host.clone(), 0..6usize).prop_map(|(at, kept)| Fault::Kill(at, kept)),
            1 => (0..6usize).prop_map(Fault::KillLeader),
            2 => host.clone().prop_map(Fault::LoseDisk),
            1 => host.clone().prop_map(Fault::Freeze),
            1 => host.clone().prop_map(Fault::Isolate),
            8 => host.prop_map(Fault::Heal),
            1 => (0..30u32, 0..20u32, 1..15u32).prop_map(|(l, du, de)| Fault::Network(l, du, de)),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Fault) -> u64 {
        state
    }
}

impl StateMachineTest for Faults {
    type SystemUnderTest = Network;
    type Reference = Faults;

    fn init_test(seed: &u64) -> Network {
        let mut net = Network::new(HOST_COUNT, *seed);
        net.managed = true;
        net.compaction = 20;
        net
    }

    fn apply(mut net: Network, _: &u64, fault: Fault) -> Network {
        match fault {
            Fault::Run(ticks) => net.run(ticks),
            Fault::Propose(count) => {
                for n in 0..count as usize * HOST_COUNT {
                    net.propose(n % HOST_COUNT, vec![1; 10]);
                }
            }
            Fault::Read => {
                for at in 0..HOST_COUNT {
                    net.read(at);
                }
            }
            Fault::Kill(at, kept) => kill(&mut net, at, kept),
            Fault::KillLeader(kept) => {
                if let Some(at) = net.leader() {
                    kill(&mut net, at, kept);
                }
            }
            Fault::LoseDisk(at) if net.is_complete() => {
                net.kill(at, 0);
                net.wipe(at);
            }
            Fault::LoseDisk(_) => {}
            Fault::Freeze(at) => net.hosts[at].frozen = true,
            Fault::Isolate(at) => net.isolate(at, true),
            Fault::Heal(at) => heal(&mut net, at),
            Fault::Network(loss, duplicate, delay) => {
                net.faults = network::Faults { loss, duplicate, delay };
            }
        }
        net
    }

    /// Heals everything: the group must elect, repair and commit again, and every host must end
    /// up with the whole history.
    fn teardown(mut net: Network, _: u64) {
        net.faults = network::Faults { loss: 0, duplicate: 0, delay: 1 };
        (0..HOST_COUNT).for_each(|at| heal(&mut net, at));
        net.commit("last");
        net.run(300);
        assert!(net.is_complete(), "every host is a voter again");
        net.check_converged();
        assert_eq!(net.hosts[0].replica.as_ref().map(replica::Replica::is_blank), Some(false));
    }
}

fn kill(net: &mut Network, at: usize, kept: usize) {
    net.tick_without_flush();
    net.kill(at, kept);
    (0..HOST_COUNT).for_each(|other| net.flush(other));
}

fn heal(net: &mut Network, at: usize) {
    net.hosts[at].frozen = false;
    net.isolate(at, false);
    net.start(at);
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(0xBA51),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    })]

    /// Guards against any fault sequence that loses or changes a committed entry, yields two
    /// leaders in a term, answers a stale read, or leaves the group stuck.
    #[test]
    fn faults_keep_the_log(sequential 1..120 => Faults);
}
