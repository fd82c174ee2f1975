//! Dispatch of peers' frames other than agreement messages, such as configurations and leases.

use std::sync::{Arc, OnceLock};

use pollendrift_coordination::base::HostName;

use crate::feed::ConfigurationFeed;
use crate::forwarding::ForwardingState;
use crate::lease_broadcast::LeaseBroadcaster;
use crate::operators::KeeperQuestionHandler;
use crate::peers::{PeerAnswer, PeerCall, PeerFrame, PeerHandler, PeerHub, PeerQuestion};
use crate::streams::StreamStore;

/// Parts of the daemon that handle frames.
pub struct FrameTargets {
    /// Handler of configurations.
    pub feed: Arc<ConfigurationFeed>,
    /// Handler of operators' questions.
    pub question_handler: Arc<KeeperQuestionHandler>,
    /// Store of the streams that another host can continue.
    pub streams: Arc<StreamStore>,
    /// Handler of leases and surveys.
    pub broadcaster: Arc<LeaseBroadcaster>,
    /// Handler of notices about hosts that do not reach a service.
    pub(crate) forwarding: Arc<ForwardingState>,
}

/// Passes frames to the parts of the daemon, after [`DaemonFrameHandler::connect`].
///
/// The links start before the parts that use them, so earlier frames are dropped. Their senders
/// repeat them, or this host requests their content again.
#[derive(Default)]
pub struct DaemonFrameHandler {
    targets: OnceLock<FrameTargets>,
}

impl DaemonFrameHandler {
    /// Sets the parts that handle frames; only the first call has an effect.
    pub fn connect(&self, targets: FrameTargets) {
        let _ = self.targets.set(targets);
    }
}

impl PeerHandler for DaemonFrameHandler {
    fn handle(&self, hub: &PeerHub, from: &HostName, frame: PeerFrame) {
        let Some(targets) = self.targets.get() else {
            return;
        };
        match frame {
            PeerFrame::Configuration(frame) => targets.feed.receive_frame(from, frame),
            PeerFrame::Leases(batch) => targets.broadcaster.receive_leases(hub, from, batch),
            PeerFrame::LeaseQuestion(servers) => targets
                .broadcaster
                .answer_lease_question(hub, from, &servers),
            PeerFrame::LeaseNumbers(numbers) => {
                targets
                    .broadcaster
                    .answer_number_question(hub, from, &numbers);
            }
            PeerFrame::Survey {
                notes,
                pass_on,
                rates,
                partition,
                quarantine,
                poison,
                demand,
            } => {
                targets.broadcaster.receive_survey(notes, pass_on);
                if let Some(notice) = partition {
                    targets.forwarding.receive_notice(hub, from, notice);
                }
                if let Some(notice) = quarantine {
                    targets.broadcaster.receive_quarantine(from, notice);
                }
                if let Some(notice) = poison {
                    targets.broadcaster.receive_poison(from, *notice);
                }
                if let Some(rates) = rates {
                    targets.broadcaster.receive_rates(from, &rates);
                }
                if let Some(demand) = demand {
                    targets.broadcaster.receive_demand(from, &demand);
                }
            }
            PeerFrame::Stream(update) => targets.streams.receive_update(from, update),
            PeerFrame::Call(call) => answer_call(targets, hub, from, call),
            _ => {}
        }
    }

    fn link_changed(&self, _hub: &PeerHub, host: &HostName, up: bool) {
        if let Some(targets) = self.targets.get().filter(|_| up) {
            targets.broadcaster.reset_peer(host);
        }
    }
}

fn answer_call(targets: &FrameTargets, hub: &PeerHub, from: &HostName, call: PeerCall) {
    let feed = Arc::clone(&targets.feed);
    let question_handler = Arc::clone(&targets.question_handler);
    let broadcaster = Arc::clone(&targets.broadcaster);
    let streams = Arc::clone(&targets.streams);
    let hub = hub.clone();
    let from = from.clone();
    tokio::spawn(async move {
        let work = async {
            match call.question {
                PeerQuestion::ConfigurationAfter { have, max_bytes } => {
                    broadcaster.record_follower(&from);
                    feed.answer(have, max_bytes).await
                }
                PeerQuestion::RequestLookUp(request) => streams.answer_look_up(&request),
                PeerQuestion::Operator(question) => question_handler.serve(&question.0).await,
                _ => PeerAnswer::NotRun {
                    reason: "this host does not answer that".to_owned(),
                },
            }
        };
        let work = hub.work().track("question", Box::pin(work));
        if let Ok(answer) = tokio::time::timeout(call.patience, work).await {
            // The requester of a lost answer times out.
            let _ = hub.answer(&from, call.number, answer);
        }
    });
}
