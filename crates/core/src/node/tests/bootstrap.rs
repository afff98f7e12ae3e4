//! Bootstrap of the control group from three seeds, growth to five replicas, and loss of disks and VMs.

use googletest::prelude::*;
use proptest::prelude::*;

use super::net::{Net, Site};

/// Five control replicas, three of them seeds, and two entries.
fn large_site() -> Site {
    Site::new(5, 2)
}

/// Steps until a lost replica is replaced: the new one has caught up, the old one was removed, and the
/// new one votes.
const REPAIR_STEPS: usize = 600;

/// Number of voters according to the leader.
fn voters(net: &Net) -> usize {
    let status = net.control(&net.leader().expect("there is a leader"));
    status.replicas.iter().filter(|replica| replica.voter).count()
}

/// Whether the leader reports that the group tolerates one more loss.
fn survives_next_loss(net: &Net) -> bool {
    net.control(&net.leader().expect("there is a leader")).survives_next_loss
}

/// Runs with broken links and suspended daemons, without crashes.
fn run_with_link_faults(net: &mut Net, steps: usize) {
    for _ in 0..steps {
        net.step(true);
        let (a, b) = (net.random_vm(), net.random_vm());
        match net.random(20) {
            0 => net.disconnect(&a, &b),
            1..=4 => net.connect(&a, &b),
            5 => net.hosts.get_mut(&a).unwrap().suspended ^= true,
            _ => {}
        }
    }
}

/// Loses one disk, two disks or a whole VM.
fn lose_disk_or_vm(net: &mut Net) {
    let replicas = net.replicas();
    let first = net.random(replicas.len() as u64) as usize;
    let second = (first + 1) % replicas.len();
    match net.random(3) {
        0 => net.wipe_disk(&replicas[first]),
        1 => {
            net.wipe_disk(&replicas[first]);
            net.wipe_disk(&replicas[second]);
        }
        _ => {
            let new = net.replace_vm(&replicas[first]);
            net.start(&new);
        }
    }
}

#[gtest]
fn seeds_bootstrap_one_group_and_others_join() {
    let mut net = Net::new(&large_site(), 1);

    net.recover(REPAIR_STEPS);

    expect_that!(voters(&net), eq(5));
    expect_true!(survives_next_loss(&net));
}

// Guards against a system that never has a leader since a seed was killed once during the first start.
#[gtest]
fn seeds_bootstrap_although_some_are_started_anew() {
    for killed in [&["vm-1"][..], &["vm-2"], &["vm-3"], &["vm-1", "vm-2"], &["vm-1", "vm-3"]] {
        let mut net = Net::new(&large_site(), 1);
        for vm in killed {
            net.wipe_disk(&(*vm).into());
        }

        net.recover(REPAIR_STEPS);

        expect_that!(net.leader(), some(anything()), "{killed:?}");
        expect_that!(voters(&net), eq(5), "{killed:?}");
    }
}

// Guards against a second group that takes the place of the first founder's, which another seed has accepted a
// configuration in while the next founder was held up.
#[gtest]
fn founder_that_knows_nothing_of_the_group_does_not_replace_it() {
    for seed in 0..40 {
        let mut net = Net::new(&Site::new(3, 1), seed);
        net.recover(2);
        net.hosts.get_mut("vm-2").unwrap().suspended = true;
        net.run(60);
        net.submit(&"vm-1".into(), 1, "a");
        net.run(40);
        let accepted = net.version_at("vm-3");
        net.wipe_disk(&"vm-1".into());
        net.start(&"vm-1".into());
        let meanwhile = net.random(20) as usize;
        net.run(meanwhile);

        net.recover(REPAIR_STEPS);

        expect_that!(accepted, eq(1), "seed {seed}");
        expect_that!(net.version_at("vm-2"), eq(accepted), "seed {seed}");
        expect_that!(net.leader(), some(anything()), "seed {seed}");
    }
}

#[gtest]
fn replacement_vm_does_not_bootstrap() {
    let mut net = Net::new(&large_site(), 2);
    net.recover(REPAIR_STEPS);
    net.submit(&"vm-6".into(), 1, "a");
    net.recover(20);
    let new = net.replace_vm(&"vm-1".into());
    net.start(&new);
    net.isolate(&new);

    net.run(REPAIR_STEPS);

    let status = net.control(&new);
    expect_that!(status.replicas, len(eq(0)));
    expect_that!(net.version_at(&new), eq(0));
}

#[gtest]
fn wiped_seed_does_not_bootstrap_again() {
    let mut net = Net::new(&large_site(), 4);
    net.recover(REPAIR_STEPS);
    net.submit(&"vm-6".into(), 1, "a");
    net.recover(20);
    net.wipe_disk(&"vm-1".into());
    net.hosts.get_mut("vm-1").unwrap().bootstraps = true;
    net.start(&"vm-1".into());

    // A bootstrap would happen at the start, before the links deliver anything.
    let status = net.control(&"vm-1".into());

    expect_that!(status.replicas, len(eq(0)));
    net.recover(REPAIR_STEPS);
    expect_that!(net.version_at("vm-1"), eq(1));
    expect_that!(voters(&net), eq(5));
}

#[gtest]
fn two_lost_disks_lose_no_accepted_config() {
    let mut net = Net::new(&large_site(), 3);
    net.recover(REPAIR_STEPS);
    net.submit(&"vm-6".into(), 1, "a");
    net.recover(20);
    net.wipe_disk(&"vm-1".into());
    net.wipe_disk(&"vm-2".into());

    net.recover(REPAIR_STEPS);

    expect_that!(net.version_at("vm-7"), eq(1));
    expect_that!(voters(&net), eq(5));
    expect_true!(survives_next_loss(&net));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(16))]

    #[test]
    fn tolerated_losses_lose_no_accepted_config(seed in any::<u64>()) {
        let mut net = Net::new(&large_site(), seed);
        run_with_link_faults(&mut net, 100);
        net.recover(REPAIR_STEPS);
        prop_assert_eq!(voters(&net), 5, "after bootstrap");
        for _ in 0..3 {
            net.run_with_faults(120);
            net.recover(REPAIR_STEPS);
            prop_assert!(survives_next_loss(&net));
            lose_disk_or_vm(&mut net);
        }
        net.run_with_faults(60);
        net.recover(REPAIR_STEPS);

        let accepted = net.observed.accepted;
        prop_assert!(0 < accepted, "no version was accepted");
        for vm in net.vms() {
            prop_assert!(accepted <= net.version_at(&vm), "{} is behind", vm);
        }
        prop_assert_eq!(voters(&net), 5, "after the losses");
        prop_assert!(survives_next_loss(&net));
    }
}
