//! Configuration: parsing, the fold that decides publications, and its distribution to running
//! instances. All instances agree on the version in force, and it never goes back.
#![allow(clippy::unwrap_used)]

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Instance, Rig, RigConfig, document, sleep_ms, until, until_within};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sassafrasworks::config::{FleetConfig, Settings, diff};
use sassafrasworks::fleet::config::{Fold, Outcome, Publish, Record};
use sassafrasworks::standin::{log, proxy};
use uuid::Uuid;

/// Time within which a published change must be in force on every instance.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);

/// Document with many errors; the snapshot of the test has the finding for each.
const INVALID: &str = "\
[fleet]
base = zero
author = ines
reviewer = ines
reason =
[defaults]
deadline = 1s
first_token = 2s
colour = green
[tier counter]
order = 0
[tier patient]
order = 2
[class booking]
tier = counters
idempotent = perhaps
[class draft]
tier = patient
protected = yes
share = 0.9
[service spine]
kind = engine
slots = 0
[service orders]
kind = plane
read_class = booking
write_class = bookings
[workspace recife]
token = recife-secret
class = booking
class = draft
[exception night]
workspace = olinda
share = 0.5
[exception idle]
class = booking
attempts = 3
reason = none needed
author = ines
reviewer = tomas
[shape round]
stray
";

#[test]
fn every_finding_of_a_document_has_its_place() {
    let findings = FleetConfig::parse("fleet.ini", INVALID).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn every_finding_of_settings_has_its_place() {
    let text = "[entry]\nname = e1\nlisten = nowhere\ngossip = 0ms\nstrategy = best\ncolor = red\n";
    let findings = Settings::parse("entry.ini", text, &["poll=soon".to_owned()]).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn differences_are_told_key_by_key() {
    let before = "[tier a]\norder = 0\n[class x]\ntier = a\nqueue = 5\n";
    let after = "[tier a]\norder = 0\n[class x]\ntier = a\nqueue = 6\n[class y]\ntier = a\n";
    insta::assert_snapshot!(diff(before, after).join("\n"));
}

#[test]
fn exceptions_apply_only_within_their_scope_and_until_they_expire() {
    let more = "[exception night]\nworkspace = recife\nclass = layout\ndomain = caruaru\n\
                deadline = 3m\nreason = night print\nauthor = ines\nreviewer = tomas\n\
                expires = 2027-01-01T00:00:00Z\n";
    let fleet = FleetConfig::parse("fleet.ini", &document(0, "ines", more)).unwrap();
    let deadline =
        |class: &str, domain: &str, now: u64| fleet.params(class, "recife", domain, now).0.deadline;
    assert_eq!(deadline("layout", "caruaru", 0), 180_000);
    assert_eq!(deadline("layout", "recife", 0), 20_000);
    assert_eq!(deadline("chat", "caruaru", 0), 20_000);
    assert_eq!(deadline("layout", "caruaru", 1_800_000_000_000), 20_000);
    assert_eq!(fleet.params("layout", "recife", "caruaru", 0).1, ["night"]);
}

/// One step of a random history of the log and its readers. Readers are given by index.
#[derive(Debug, Clone)]
enum HistoryStep {
    /// Appends a publication edited from the reader's version, twice for a repeated append.
    Publish { by: usize, valid: bool, twice: bool },
    /// Reads at most `max` records.
    Read { by: usize, max: usize },
    /// Trims this many quarters of the records that the log still has.
    Trim { part: usize },
    /// Appends a carry of the reader's version.
    Carry { by: usize },
    /// Copies the version in force from another reader.
    Adopt { by: usize, from: usize },
    /// Discards the reader's state.
    Restart { by: usize },
}

/// Number of readers in a random history.
const READERS: usize = 4;

/// Generates random histories.
fn histories() -> impl Strategy<Value = Vec<HistoryStep>> {
    let one = prop_oneof![
        3 => (0..READERS, any::<bool>(), any::<bool>())
            .prop_map(|(by, valid, twice)| HistoryStep::Publish { by, valid, twice }),
        5 => (0..READERS, 1..6usize).prop_map(|(by, max)| HistoryStep::Read { by, max }),
        1 => (0..4usize).prop_map(|part| HistoryStep::Trim { part }),
        2 => (0..READERS).prop_map(|by| HistoryStep::Carry { by }),
        1 => (0..READERS, 0..READERS).prop_map(|(by, from)| HistoryStep::Adopt { by, from }),
        1 => (0..READERS).prop_map(|by| HistoryStep::Restart { by }),
    ];
    prop::collection::vec(one, 1..120)
}

/// Version in force before each offset, for a reader of the untrimmed log.
fn expected_versions(all: &[Record]) -> Vec<u64> {
    let mut fold = Fold::default();
    fold.set_oldest(0);
    let mut versions = vec![0];
    for (i, record) in all.iter().enumerate() {
        fold.apply(i as u64, 0, record.clone());
        versions.push(fold.version());
    }
    versions
}

/// Runs a history and checks after each step, for every reader: its version never decreases, is
/// never ahead of the log, and is exact when the reader knows the version in force.
fn check_history(history: &[HistoryStep]) {
    let (valid, invalid) = (document(0, "ines", ""), "[fleet]\n".to_owned());
    let mut all: Vec<Record> = Vec::new();
    let mut oldest = 0;
    let mut readers: Vec<Fold> = (0..READERS).map(|_| Fold::default()).collect();
    let mut highest = [0; READERS];
    for step in history {
        match *step {
            HistoryStep::Publish { by, valid: is_valid, twice } => {
                let publish = Publish {
                    id: Uuid::from_u128(all.len() as u128),
                    base: readers[by].version(),
                    author: format!("operator-{by}"),
                    text: if is_valid { valid.clone() } else { invalid.clone() },
                };
                all.push(Record::Publish(publish.clone()));
                if twice {
                    all.push(Record::Publish(publish));
                }
            }
            HistoryStep::Read { by, max } => read(&mut readers[by], &all, oldest, max),
            HistoryStep::Trim { part } => oldest += (all.len() - oldest) * part / 4,
            HistoryStep::Carry { by } => {
                all.extend(readers[by].snapshot().map(Record::Carry));
            }
            HistoryStep::Adopt { by, from } => {
                if let Some(carry) = readers[from].snapshot() {
                    readers[by].adopt(0, carry);
                }
            }
            HistoryStep::Restart { by } => {
                readers[by] = Fold::default();
                highest[by] = 0;
            }
        }
        let expected = expected_versions(&all);
        for (i, reader) in readers.iter().enumerate() {
            assert!(reader.version() >= highest[i], "version of reader {i} decreased");
            highest[i] = reader.version();
            let want = expected[reader.next() as usize];
            assert!(reader.version() <= want, "reader {i} is ahead of the log");
            if reader.known() {
                assert_eq!(reader.version(), want, "reader {i} differs at {}", reader.next());
            }
        }
    }
}

/// Applies up to `max` records that the log still has to the fold.
fn read(fold: &mut Fold, all: &[Record], oldest: usize, max: usize) {
    fold.set_oldest(oldest as u64);
    let from = fold.next() as usize;
    for (i, record) in all.iter().enumerate().skip(from.max(oldest)).take(max) {
        fold.apply(i as u64, 0, record.clone());
    }
}

proptest! {
    #![proptest_config(Config {
        cases: common::env("SASSAFRAS_CASES", 200) as u32,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn readers_agree_in_any_order_of_log_trims_peers_and_restarts(history in histories()) {
        check_history(&history);
    }
}

#[test]
fn repeated_append_applies_once() {
    let mut fold = Fold::default();
    fold.set_oldest(0);
    let publish = |base, id| {
        Record::Publish(Publish {
            id: Uuid::from_u128(id),
            base,
            author: "ines".to_owned(),
            text: document(base, "ines", ""),
        })
    };
    assert_eq!(fold.apply(0, 0, publish(0, 1))[0].outcome, Outcome::Accepted { version: 1 });
    assert!(fold.apply(1, 0, publish(0, 1)).is_empty());
    let conflict = Outcome::Conflict { version: 1, author: "ines".to_owned() };
    assert_eq!(fold.apply(2, 0, publish(0, 2))[0].outcome, conflict);
    assert_eq!(fold.version(), 1);
}

#[test]
fn one_of_two_concurrent_publications_is_accepted() {
    let rig = Rig::start(&RigConfig::default());
    for base in 1..4 {
        let results: Vec<_> = thread::scope(|s| {
            let threads: Vec<_> = ["ana", "rui"]
                .into_iter()
                .map(|who| {
                    let rig = &rig;
                    s.spawn(move || rig.publish(&document(base, who, "")))
                })
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        let won = results.iter().filter(|r| r.is_ok()).count();
        assert_eq!(won, 1, "{results:?}");
        let (code, text) = results.iter().find_map(|r| r.as_ref().err()).unwrap();
        assert_eq!(*code, 4);
        assert!(text.contains(&format!("conflict with version {}", base + 1)), "{text}");
    }
    until("version 4 is in force", || rig.entries.iter().all(|e| e.version() == 4));
    rig.assert_no_violations();
}

#[test]
fn change_is_in_force_everywhere_in_time() {
    let rig = Rig::start(&RigConfig::default());
    rig.publish(&document(1, "ines", "")).unwrap();
    until_within("the change is in force", PROPAGATION_LIMIT, &mut || {
        rig.entries.iter().all(|e| e.version() == 2)
    });
}

#[test]
fn peers_bring_the_change_to_an_instance_cut_off_from_the_log() {
    let rig = Rig::start(&RigConfig::default());
    rig.proxy("log-e1").set_fault(proxy::Fault::Cut);
    rig.publish(&document(1, "ines", "")).unwrap();
    until_within("the change is in force", PROPAGATION_LIMIT, &mut || {
        rig.entries.iter().all(|e| e.version() == 2)
    });
    rig.proxy("log-e1").set_fault(proxy::Fault::None);
    rig.publish(&document(2, "ines", "")).unwrap();
    until("version 3 is in force", || rig.entries.iter().all(|e| e.version() == 3));
    rig.assert_no_violations();
}

#[test]
fn lost_append_answers_are_settled_by_the_log() {
    let rig = Rig::start(&RigConfig::default());
    rig.log().set_fault(log::Fault::Lost);
    let out = rig.publish(&document(1, "ines", "")).unwrap();
    assert!(out.contains("version 2"), "{out}");
    rig.log().set_fault(log::Fault::None);
    until("version 2 is in force", || rig.entries.iter().all(|e| e.version() == 2));
}

#[test]
fn publish_to_a_log_that_is_down_says_not_published() {
    let rig = Rig::start(&RigConfig::default());
    rig.log().set_fault(log::Fault::Down);
    let file = rig.dir.join("next.ini");
    std::fs::write(&file, document(1, "ines", "")).unwrap();
    let (file, log) = (file.to_str().unwrap().to_owned(), rig.log_addr.to_string());
    let out = rig.ctl(&["publish", &file, "--log", &log, "--wait", "1"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("not published"));
}

#[test]
fn configuration_outlives_the_logs_retention() {
    let config = RigConfig { retention: 4_000, ..RigConfig::default() };
    let mut rig = Rig::start(&config);
    rig.publish(&document(1, "ines", "")).unwrap();
    until("version 2 is in force", || rig.entries.iter().all(|e| e.version() == 2));
    // After twice the retention, the record of the publication itself has expired.
    sleep_ms(2 * config.retention);
    for entry in &mut rig.entries {
        entry.kill();
    }
    rig.entries[0].start();
    until("the new instance has version 2 from the log", || rig.entries[0].version() == 2);
    rig.publish(&document(2, "ines", "")).unwrap();
    until("version 3 is in force", || rig.entries[0].version() == 3);
}

#[test]
fn cold_start_without_the_log_takes_the_configuration_from_peers() {
    let mut rig = Rig::start(&RigConfig::default());
    rig.publish(&document(1, "ines", "")).unwrap();
    until("version 2 is in force", || rig.entries.iter().all(|e| e.version() == 2));
    rig.log().set_fault(log::Fault::Down);
    rig.entries[0].kill();
    let start = Instant::now();
    rig.entries[0].start();
    until_within("the new instance is ready", PROPAGATION_LIMIT, &mut || rig.entries[0].ready());
    assert_eq!(rig.entries[0].version(), 2);
    let got = rig.entries[0].caller().stream("spine-1", "cold start len=5", 9).unwrap();
    assert!(got.complete, "{got:?} after {:?}", start.elapsed());
}

#[test]
fn audit_lists_changes_key_by_key_and_conflicts() {
    let rig = Rig::start(&RigConfig { entries: 1, ..RigConfig::default() });
    rig.publish(&document(1, "ana", "").replace("deadline = 20s", "deadline = 21s")).unwrap();
    let (_, told) = rig.publish(&document(1, "rui", "")).unwrap_err();
    assert!(told.contains("in force: [defaults] deadline: `20s` becomes `21s`"), "{told}");
    let out = rig.ctl(&["audit", "--log", &rig.log_addr.to_string()]);
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains("edit of version 1 by ana, reviewed by tomas: accepted as version 2"));
    assert!(text.contains("[defaults] deadline: `20s` becomes `21s`"), "{text}");
    assert!(text.contains("edit of version 1 by rui, reviewed by tomas: conflict with version 2"));
}

#[test]
fn shown_document_can_be_published_again() {
    let rig = Rig::start(&RigConfig { entries: 1, ..RigConfig::default() });
    let admin = rig.entries[0].admin.to_string();
    until("version 1 is in force", || rig.entries.iter().all(|e: &Instance| e.version() == 1));
    let out = rig.ctl(&["show", "--entry", &admin]);
    let out = rig.publish(&String::from_utf8(out.stdout).unwrap()).unwrap();
    assert!(out.contains("version 2"), "{out}");
}
