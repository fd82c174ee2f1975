use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeRequest, ChangeRetention, Configuration, ConfigurationDelta,
    ConfigurationDigest,
};
use pollendrift_coordination::replicated::ReplicatedTime;

use super::{ConfigurationCopy, CopyVerdict, OfferedContent, content_for};
use crate::peers::ConfigurationContent;

/// Text of two documents; only the weight of the last one differs between revisions.
fn text(weight: usize) -> String {
    format!(
        "kind: labels\non: customer\nname: a\nlabels: {{weight: 5}}\n---\n\
         kind: labels\non: customer\nname: b\nlabels: {{weight: {weight}}}\n"
    )
}

/// Returns a log at revision `revisions`; revision N gives customer b the weight N.
fn log(revisions: u64) -> ChangeLog {
    let mut log = ChangeLog::new(ChangeRetention::default());
    for number in 0..revisions {
        let change = ChangeRequest {
            change_id: format!("c{number}").into(),
            based_on: Revision(number),
            operator: "anna".into(),
            text: text(number as usize + 1).into(),
        };
        log.decide(&change, WallTime(0), ReplicatedTime::default());
    }
    log
}

fn full_content(log: &ChangeLog) -> OfferedContent {
    let text = log.canonical().text().into_bytes();
    OfferedContent::Remote(ConfigurationContent::Whole(text.into()))
}

fn show(verdict: CopyVerdict) -> String {
    match verdict {
        CopyVerdict::Applied(applied) => format!("applied, serves {}", applied.revision()),
        CopyVerdict::NotNeeded => "not needed".to_owned(),
        CopyVerdict::StaleBase => "stale base, requests a delta".to_owned(),
        CopyVerdict::Refused(reason) => format!("refused, requests the complete text: {reason}"),
    }
}

/// Guards against serving a mixture of two configurations after a delta that does not fit the copy.
/// Answers may arrive out of order, a keeper's data may be corrupt, and a lost delta leaves a gap.
/// The digest and the start revision of the delta reveal this, and the complete text of revision 4
/// repairs the copy.
#[test]
fn mismatched_delta_is_never_served() {
    let good = log(4).delta_since(Revision(2)).unwrap();
    let other = |from: u64, to: u64| ConfigurationDelta {
        from: Revision(from),
        to: Revision(to),
        ..good.clone()
    };
    let wrong_digest = ConfigurationDelta {
        digest: ConfigurationDigest([0; 32]),
        ..good.clone()
    };
    let lost_change = ConfigurationDelta {
        changes: Vec::new(),
        ..good.clone()
    };
    let cases = [
        ("fits", 4, good.clone()),
        ("digest", 4, wrong_digest),
        ("change lost", 4, lost_change),
        ("gap", 4, other(3, 4)),
        ("out of order", 4, other(1, 4)),
        ("another revision", 5, good.clone()),
        ("same revision", 2, other(1, 2)),
        ("older", 1, other(0, 1)),
    ];
    let mut shown = String::new();
    for (case, revision, delta) in cases {
        let mut copy = ConfigurationCopy::default();
        copy.apply(Revision(2), full_content(&log(2)));
        let content = OfferedContent::Remote(ConfigurationContent::Delta(delta));
        let verdict = show(copy.apply(Revision(revision), content));
        let after = copy.followed.current().revision();
        let repaired = show(copy.apply(Revision(4), full_content(&log(4))));
        shown += &format!("{case}: {verdict}; copy has {after}; complete text of 4: {repaired}\n");
    }
    let mut empty = ConfigurationCopy::default();
    let content = OfferedContent::Remote(ConfigurationContent::Delta(good));
    shown += &format!("first: {}\n", show(empty.apply(Revision(4), content)));
    insta::assert_snapshot!(shown, @r"
    fits: applied, serves 4; copy has 4; complete text of 4: not needed
    digest: refused, requests the complete text: revision 4 has another content than its digest says; copy has 2; complete text of 4: applied, serves 4
    change lost: refused, requests the complete text: revision 4 has another content than its digest says; copy has 2; complete text of 4: applied, serves 4
    gap: refused, requests the complete text: the delta starts from revision 3, not 2; copy has 2; complete text of 4: applied, serves 4
    out of order: stale base, requests a delta; copy has 2; complete text of 4: applied, serves 4
    another revision: refused, requests the complete text: the delta leads to revision 4, not 5; copy has 2; complete text of 4: applied, serves 4
    same revision: not needed; copy has 2; complete text of 4: applied, serves 4
    older: not needed; copy has 2; complete text of 4: applied, serves 4
    first: refused, requests the complete text: received a delta before any complete configuration
    ");
}

/// Guards against a host that can never catch up: a host at a revision that is no longer retained,
/// or whose delta is too large for a frame, must get the complete text.
#[test]
fn host_gets_the_smallest_sufficient_content() {
    let large = "x".repeat(super::MAX_DELTA_BYTES);
    let cases = [Some(4), Some(3), Some(9), None];
    let mut changes = log(4);
    let configuration: &Configuration = &changes.build().unwrap();
    let kind = |content: &ConfigurationContent| match content {
        ConfigurationContent::Unchanged => "unchanged",
        ConfigurationContent::Delta(_) => "delta",
        ConfigurationContent::Whole(_) => "whole",
    };
    let mut shown = String::new();
    for have in cases {
        let have = have.map(Revision);
        let delta = have.and_then(|have| changes.delta_since(have));
        let content = content_for(have, configuration, delta);
        shown += &format!("{have:?}: {}\n", kind(&content));
    }
    let mut delta = changes.delta_since(Revision(3)).unwrap();
    delta.changes[0].text = Some(large.into());
    let content = content_for(Some(Revision(3)), configuration, Some(delta));
    shown += &format!("large: {}\n", kind(&content));
    insta::assert_snapshot!(shown, @r"
    Some(Revision(4)): unchanged
    Some(Revision(3)): delta
    Some(Revision(9)): whole
    None: whole
    large: whole
    ");
}
