//! Tests that the copy of a stream outlives late, broken and restarted hosts.

use std::net::SocketAddr;
use std::time::Duration;

use pollendrift_coordination::base::{HostName, RequestId};
use pollendrift_coordination::streams::rank_hosts;
use pollendrift_standins::caller::{DraftParameters, DraftReply};
use pollendrift_standins::engine::EngineServer;
use pollendrift_standins::fleet::ModelShape;
use pollendrift_standins::harness::HostBuilder;
use pollendrift_standins::slow_link::SlowLink;
use pollendrift_standins::token::{StandInWeights, expected_answer};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::resumes::{caller, engines};
use crate::support::HostGroup;

/// Longer than any test: what is sent over such a link never arrives.
const NEVER: Duration = Duration::from_secs(3_600);

/// A stream that a caller reads in a task of its own.
struct RunningStream {
    tokens: watch::Receiver<u32>,
    task: JoinHandle<DraftReply>,
}

impl RunningStream {
    async fn wait_tokens(&mut self, count: u32) {
        self.tokens
            .wait_for(|tokens| *tokens >= count)
            .await
            .unwrap();
    }

    async fn wait_more_tokens(&mut self, count: u32) {
        let held = *self.tokens.borrow();
        self.wait_tokens(held + count).await;
    }

    async fn reply(self) -> DraftReply {
        self.task.await.unwrap()
    }
}

/// One draft, whose answer has exactly `tokens` tokens.
#[derive(Clone)]
struct Draft {
    shape: ModelShape,
    id: String,
    prompt: String,
    tokens: u32,
}

impl Draft {
    /// A draft whose id ranks the hosts as `is_wanted` demands, the most likely holder first.
    fn with_ranking<F>(hosts: usize, tokens: u32, is_wanted: F) -> Self
    where
        F: Fn(&[usize]) -> bool,
    {
        let names: Vec<HostName> = (0..hosts)
            .map(|index| HostBuilder::name(index).into())
            .collect();
        let ranking = |id: &str| {
            let request = RequestId::from(id);
            let ranked = rank_hosts(&request, &names).into_iter();
            ranked
                .map(|host| names.iter().position(|name| name == host).unwrap())
                .collect::<Vec<_>>()
        };
        let id = (0..)
            .map(|number| format!("draft-{number}"))
            .find(|id| is_wanted(&ranking(id)));
        let shape = ModelShape::default();
        let prompt = (0..)
            .map(|number| format!("isolation list for boiler {number}"))
            .find(|prompt| expected(&shape, prompt, tokens).len() == tokens as usize);
        Self {
            shape,
            id: id.unwrap(),
            prompt: prompt.unwrap(),
            tokens,
        }
    }

    fn parameters(&self, last_position: Option<u32>) -> DraftParameters<'_> {
        DraftParameters {
            model: &self.shape.model,
            prompt: &self.prompt,
            max_tokens: self.tokens,
            id: Some(&self.id),
            last_position,
        }
    }

    fn start(&self, group: &HostGroup, entry: usize) -> RunningStream {
        let caller = caller(group, entry);
        let (sender, tokens) = watch::channel(0);
        let draft = self.clone();
        let task = tokio::spawn(async move {
            let count = |_: &str| sender.send_modify(|tokens| *tokens += 1);
            caller.stream(&draft.parameters(None), count).await.unwrap()
        });
        RunningStream { tokens, task }
    }

    /// Resumes the draft once, after what `answer` holds.
    async fn resume(&self, group: &HostGroup, entry: usize, answer: &mut DraftReply) {
        let parameters = self.parameters(answer.positions.last().copied());
        let rest = caller(group, entry).stream(&parameters, |_| {}).await;
        answer.append_resumed(rest.unwrap(), Duration::ZERO);
    }

    /// Resumes the draft, again after each refusal that names a time; returns the refusals.
    async fn resume_as_told(
        &self,
        group: &HostGroup,
        entry: usize,
        answer: &mut DraftReply,
    ) -> Vec<u16> {
        let mut refusals = Vec::new();
        loop {
            self.resume(group, entry, answer).await;
            let Some(refusal) = &answer.refusal else {
                return refusals;
            };
            refusals.push(refusal.status);
            let Some(wait) = answer.retry_after else {
                return refusals;
            };
            sleep(wait).await;
        }
    }

    /// `whole`, or what is wrong with the answer.
    fn result(&self, answer: &DraftReply) -> String {
        match answer.check(&expected(&self.shape, &self.prompt, self.tokens)) {
            Ok(()) => "whole".to_owned(),
            Err(error) => format!("{error}"),
        }
    }
}

fn expected(shape: &ModelShape, prompt: &str, tokens: u32) -> Vec<u64> {
    let weights = StandInWeights::new(&shape.model, &shape.version, None, shape.layers);
    expected_answer(&weights, prompt, tokens)
}

/// Starts hosts whose links from host `from` to each of `to` run over [`SlowLink`]s.
async fn group_with_links(
    hosts: usize,
    from: usize,
    to: &[usize],
) -> (HostGroup, Vec<SlowLink>, Vec<EngineServer>) {
    let mut group = HostGroup::stopped(hosts, 3);
    let peers: Vec<SocketAddr> = group
        .builder
        .hosts()
        .iter()
        .map(|host| host.peers)
        .collect();
    let mut links = Vec::new();
    for index in to {
        let address = peers[*index];
        let link = SlowLink::start(address, Duration::ZERO).await.unwrap();
        group.replace_settings(from, &address.to_string(), &link.address().to_string());
        links.push(link);
    }
    let group = group.start_all().await;
    let engines = engines(&group, &ModelShape::default()).await;
    (group, links, engines)
}

// Guards against a stream that is called lost because a host that answered late during the answer
// has an old copy of it, while another host has a later one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_from_the_longest_copy_after_a_host_was_late() {
    for delay in [1_100, 1_300, 5_000] {
        let (mut group, links, _engines) = group_with_links(4, 3, &[1]).await;
        let draft = Draft::with_ranking(4, 160, |ranked| ranked[0] == 1);
        let mut stream = draft.start(&group, 3);
        stream.wait_tokens(3).await;
        links[0].set_delay(Duration::from_millis(delay));
        sleep(Duration::from_millis(2_200)).await;
        group.crash(3);
        let mut answer = stream.reply().await;
        draft.resume(&group, 0, &mut answer).await;
        assert_eq!(draft.result(&answer), "whole", "delay of {delay} ms");
    }
}

// Guards against a stream that is called lost because the host with its copy does not answer the
// look-up in time. The caller is told when to come back, and the stream goes on then.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_lost_while_the_host_with_its_copy_is_not_reachable() {
    for delay in [Duration::from_millis(1_500), NEVER] {
        let (mut group, links, _engines) = group_with_links(4, 0, &[1]).await;
        let draft = Draft::with_ranking(4, 40, |ranked| ranked[0] == 1);
        let mut stream = draft.start(&group, 3);
        stream.wait_tokens(9).await;
        group.crash(3);
        links[0].set_delay(delay);
        let mut answer = stream.reply().await;
        draft.resume(&group, 0, &mut answer).await;
        let refused = answer.refusal.as_ref().map(|refusal| refusal.status);
        assert_eq!(refused, Some(503), "{:?}", answer.refusal);
        assert!(answer.retry_after.is_some());
        links[0].set_delay(Duration::ZERO);
        let refusals = draft.resume_as_told(&group, 0, &mut answer).await;
        assert_eq!(draft.result(&answer), "whole", "{delay:?}: {refusals:?}");
    }
}

// Guards against a stream that is called lost because more hosts failed than a look-up passes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_from_a_host_behind_three_failed_ones() {
    let (mut group, _links, _engines) = group_with_links(6, 5, &[]).await;
    let draft = Draft::with_ranking(6, 40, |ranked| ranked[..3].iter().all(|host| *host >= 3));
    group.crash(3);
    group.crash(4);
    let mut stream = draft.start(&group, 5);
    stream.wait_tokens(9).await;
    group.crash(5);
    let mut answer = stream.reply().await;
    draft.resume(&group, 0, &mut answer).await;
    assert_eq!(draft.result(&answer), "whole");
}

// Guards against a look-up that asks only the likely hosts and misses a copy behind them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_from_the_last_hosts_in_rank() {
    let (mut group, _links, _engines) = group_with_links(13, 12, &[]).await;
    let draft = Draft::with_ranking(13, 40, |ranked| ranked[..9].iter().all(|host| *host >= 3));
    for host in 3..12 {
        group.crash(host);
    }
    let mut stream = draft.start(&group, 12);
    stream.wait_tokens(9).await;
    group.crash(12);
    let mut answer = stream.reply().await;
    draft.resume(&group, 0, &mut answer).await;
    assert_eq!(draft.result(&answer), "whole");
}

// Guards against a stream that stays without copies after the links to its holders broke three
// times, so that a later crash of its entry loses it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_copied_again_after_its_links_broke_several_times() {
    let (mut group, links, _engines) = group_with_links(4, 3, &[0, 1, 2]).await;
    // Each break loses an update that is on its way.
    for link in &links {
        link.set_delay(Duration::from_millis(40));
    }
    let draft = Draft::with_ranking(4, 160, |ranked| ranked[0] != 3);
    let mut stream = draft.start(&group, 3);
    for break_number in 1..=4 {
        stream.wait_tokens(break_number * 10).await;
        for link in &links {
            link.break_connections();
        }
    }
    stream.wait_tokens(90).await;
    group.crash(3);
    let mut answer = stream.reply().await;
    draft.resume(&group, 0, &mut answer).await;
    assert_eq!(draft.result(&answer), "whole");
}

// Guards against a stream that stays without copies for as long as hosts that were late are
// avoided, although they answer in time again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_copied_again_after_all_hosts_were_late() {
    let (mut group, links, _engines) = group_with_links(4, 3, &[0, 1, 2]).await;
    let draft = Draft::with_ranking(4, 240, |ranked| ranked == [0, 1, 2, 3]);
    let mut stream = draft.start(&group, 3);
    for link in &links {
        stream.wait_more_tokens(5).await;
        // Its host confirms too late, and its heartbeats are just early enough.
        link.set_delay(Duration::from_millis(1_100));
        sleep(Duration::from_millis(1_200)).await;
    }
    for link in &links {
        link.set_delay(Duration::ZERO);
    }
    sleep(Duration::from_millis(2_000)).await;
    group.crash(3);
    let mut answer = stream.reply().await;
    draft.resume(&group, 0, &mut answer).await;
    assert_eq!(draft.result(&answer), "whole");
}

// Guards against a stream without a copy between two tokens: the host with its copy stops, and its
// entry crashes before the next token.
#[tokio::test(flavor = "multi_thread")]
async fn a_quiet_stream_is_copied_again_when_the_host_with_its_copy_stops() {
    let (mut group, _links, engines) = group_with_links(4, 3, &[]).await;
    // About 500 ms between two tokens.
    for engine in &engines {
        engine.faults().slow_percent(1_500);
    }
    let draft = Draft::with_ranking(4, 12, |ranked| ranked[0] == 1);
    let mut stream = draft.start(&group, 3);
    stream.wait_tokens(4).await;
    group.crash(1);
    sleep(Duration::from_millis(200)).await;
    group.crash(3);
    let mut answer = stream.reply().await;
    draft.resume(&group, 0, &mut answer).await;
    assert_eq!(draft.result(&answer), "whole");
}
