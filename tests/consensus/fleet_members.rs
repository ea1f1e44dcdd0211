//! Membership of a fleet whose members are away for some seconds.

use yare::parameterized;

use crate::harness::{Cluster, Faults};

/// Steps after which a member that is away counts as inactive.
const INACTIVITY_STEPS: u32 = 60;

/// Steps in which a member becomes inactive and is replaced.
const ABSENCE_STEPS: u32 = 400;

/// How a member that comes back is away.
#[derive(Debug, Clone, Copy)]
enum Absence {
    PowerLoss,
    Freeze,
    Partition,
    DiskStall,
}

impl Absence {
    fn start(self, cluster: &mut Cluster, id: u64) {
        match self {
            Self::PowerLoss => cluster.crash(id),
            Self::Freeze => cluster.freeze(id, true),
            Self::Partition => cluster.isolate(id),
            Self::DiskStall => cluster.stall_disk(id, true),
        }
    }

    fn end(self, cluster: &mut Cluster, id: u64) {
        match self {
            Self::PowerLoss => cluster.restart(id),
            Self::Freeze => cluster.freeze(id, false),
            Self::Partition => cluster.heal(),
            Self::DiskStall => cluster.stall_disk(id, false),
        }
    }
}

/// Fleet of five voters and `standby_count` learners.
fn fleet(seed: u64, standby_count: u64) -> Cluster {
    let mut cluster = Cluster::of_fleet(5 + standby_count, seed, Faults::default());
    cluster.run_until("five voters and the learners", |cluster| {
        let Some(leader) = cluster.leader() else { return false };
        let members = cluster.node(leader).members();
        cluster.node(leader).survivable_losses() == 2
            && members.members.len() as u64 == 5 + standby_count
    });
    cluster
}

fn is_listed(cluster: &Cluster, id: u64) -> bool {
    cluster.leader().is_some_and(|leader| cluster.node(leader).members().contains(id))
}

/// Guards against the removal of a member that is away for some seconds instead of an id whose disk is
/// lost (review case 1): two more lost disks would then lose what was acknowledged.
#[parameterized(
    power_loss = { Absence::PowerLoss },
    freeze = { Absence::Freeze },
    partition = { Absence::Partition },
    disk_stall = { Absence::DiskStall },
)]
fn a_wiped_id_is_removed_before_an_absent_member(absence: Absence) {
    for away in 1..=5 {
        for wiped in (1..=5).filter(|wiped| *wiped != away) {
            let mut cluster = fleet(10 * away + wiped, 0);
            absence.start(&mut cluster, away);
            cluster.commit_one_payload();
            cluster.run(INACTIVITY_STEPS);
            let new_id = 10 + wiped;
            cluster.lose_disk(wiped, new_id);
            let case = format!("{absence:?} of {away}, lost disk of {wiped}");
            cluster.run_until(&format!("the wiped member to vote again ({case})"), |cluster| {
                let Some(leader) = cluster.leader() else { return false };
                let members = cluster.node(leader).members();
                members.voters().count() == 5 && members.is_voter(new_id)
            });
            assert!(is_listed(&cluster, away), "{case}: the absent member was removed");
            assert!(!is_listed(&cluster, wiped), "{case}: the lost id is still a member");
        }
    }
}

/// Guards against a removed member that stays out for ever (review cases 1 and 4): it holds a member
/// list that names itself and gets no word of its removal.
#[parameterized(
    power_loss = { Absence::PowerLoss },
    freeze = { Absence::Freeze },
    partition = { Absence::Partition },
    disk_stall = { Absence::DiskStall },
)]
fn a_removed_member_joins_again(absence: Absence) {
    for away in 1..=5 {
        let mut cluster = fleet(away, 1);
        if matches!(absence, Absence::DiskStall) && cluster.leader() == Some(away) {
            // The others commit what its disk does not, and it goes on leading.
            continue;
        }
        absence.start(&mut cluster, away);
        cluster.commit_one_payload();
        cluster.run(ABSENCE_STEPS);
        assert!(!is_listed(&cluster, away), "{absence:?}: member {away} was not replaced");
        absence.end(&mut cluster, away);
        cluster.run_until("the removed member to join again", |cluster| {
            is_listed(cluster, cluster.current_id(away))
        });
        cluster.commit_one_payload();
        cluster.run(ABSENCE_STEPS);
        cluster.check_applied_state(cluster.current_id(away));
    }
}

/// Guards against a member that joins again and is not used: when each member has been away in turn, five
/// must vote and one stand by.
#[test]
fn a_member_that_joined_again_takes_the_place_of_another() {
    let mut cluster = fleet(7, 1);
    for away in 1..=5 {
        let away = cluster.current_id(away);
        cluster.crash(away);
        cluster.run(ABSENCE_STEPS);
        cluster.restart(away);
        cluster.run(ABSENCE_STEPS);
    }
    let leader = cluster.leader().expect("the fleet has a leader");
    let members = cluster.node(leader).members();
    assert_eq!((members.voters().count(), members.members.len()), (5, 6));
    assert_eq!(cluster.node(leader).survivable_losses(), 2);
    cluster.commit_one_payload();
    for id in 1..=6 {
        cluster.run(ABSENCE_STEPS);
        cluster.check_applied_state(cluster.current_id(id));
    }
}
