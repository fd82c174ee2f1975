//! JSON bodies of the operators' HTTP interface.
#![allow(clippy::unwrap_used, reason = "a test may panic on a failed step")]

use pollendrift_coordination::base::{Revision, WallTime};
use pollendrift_coordination::configuration::{
    ChangeLog, ChangeReply, ChangeRequest, ChangeRetention, ConfigurationView, ExplainBody,
    ExplainView, HistoryView, InForceView,
};
use pollendrift_coordination::replicated::ReplicatedTime;

fn decide(log: &mut ChangeLog, id: &str, based_on: u64, text: &str) -> ChangeReply {
    let request = ChangeRequest {
        change_id: id.into(),
        based_on: Revision(based_on),
        operator: "anna".into(),
        text: text.into(),
    };
    let answer = log.decide(
        &request,
        WallTime(1_000 + based_on),
        ReplicatedTime::default(),
    );
    ChangeReply::from(answer)
}

// Guards against changes of the JSON replies and statuses that operators and pollenctl rely on.
#[test]
fn change_replies_keep_their_json_and_status() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    let selector = "kind: selector\nname: s\nmodel: m\n";
    let replies = [
        decide(&mut log, "c1", 0, selector),
        decide(&mut log, "c2", 0, "kind: selector\nname: s\nservice: p\n"),
        decide(&mut log, "c1", 1, selector),
        decide(&mut log, "c3", 1, "kind: x\n"),
    ];
    let mut report = String::new();
    for reply in &replies {
        let json = serde_json::to_string(reply).unwrap();
        assert_eq!(serde_json::from_str::<ChangeReply>(&json).unwrap(), *reply);
        report += &format!("{} {json}\n", reply.status());
    }
    insta::assert_snapshot!(report, @r#"
    200 {"outcome":"accepted","revision":1,"warnings":[]}
    409 {"outcome":"conflict","conflict":{"based_on":0,"current":1,"winner":{"revision":1,"change_id":"c1","operator":"anna","time":1000,"digest":"4d2ac9a783dd39449349e28dfa53651bd1c4cb0f60a9953862dc87b7a98cf1c7","difference":{"added":[{"selector":"s"}],"removed":[],"changed":[],"unnamed":0}},"difference":{"added":[],"removed":[],"changed":[{"selector":"s"}],"unnamed":0}}}
    409 {"outcome":"change-id-reused"}
    422 {"outcome":"refused","findings":[{"severity":"error","place":{"file":"c3","line":1,"column":7},"message":"there is no kind x","expected":"kind: labels, kind: selector or kind: source"}]}
    "#);
}

// Guards against history pages with the wrong revisions, answers on revisions or times that do not
// exist, and explanations that lack the reason of a mismatch.
#[test]
fn views_select_revisions_and_explain_mismatches() {
    let mut log = ChangeLog::new(ChangeRetention::default());
    for number in 0..3 {
        let text = format!(
            "kind: selector\nname: s{number}\nmodel: m\nfor: {{matchLabels: {{customer/name: c{number}}}}}\n"
        );
        decide(&mut log, &format!("c{number}"), number, &text);
    }
    let page = HistoryView::of(&log, Some(Revision(3)), 1);
    assert_eq!(page.changes.len(), 1);
    assert_eq!(page.changes[0].revision, Revision(2));
    assert_eq!(
        ConfigurationView::of(&log, None).unwrap().revision,
        Revision(3)
    );
    assert!(ConfigurationView::of(&log, Some(Revision(4))).is_none());
    assert!(InForceView::at(&log, WallTime(999)).at.is_none());
    assert_eq!(
        InForceView::at(&log, WallTime(1_001))
            .at
            .unwrap()
            .change
            .revision,
        Revision(2)
    );

    let mut body = ExplainBody {
        customer: "c1".into(),
        ..ExplainBody::default()
    };
    assert!(body.facts().is_none());
    body.model = Some("m".into());
    let view = ExplainView::of(&log.build().unwrap(), &body.facts().unwrap());
    insta::assert_json_snapshot!(view, @r#"
    {
      "revision": 3,
      "serves": null,
      "selectors": [
        {
          "selector": "s2",
          "order": 100,
          "reason": "for needs customer/name In [c2], but it is c1"
        }
      ],
      "servers": []
    }
    "#);
}
