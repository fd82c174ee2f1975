//! One attempt of a draft: the sequence request to the first stage and the handling of its events.

use http::StatusCode;
use pollendrift_border::{SequenceEvent, SequenceRequest, TokenEvent};
use pollendrift_coordination::base::{AttemptNumber, ServerName, TokenPosition};
use pollendrift_coordination::ledger::{FinalEvent, FinalVerdict, TokenLedger, TokenVerdict};
use pollendrift_http::{ClientError, LineReader};
use tokio::time::{Instant, timeout_at};

use super::flight_guard::FlightGuard;
use super::wire::{route_stage, token_result};
use super::{AttemptEnd, DraftRunner, SEQUENCE_PATH};
use crate::fleet::DraftRoute;

impl DraftRunner {
    /// Runs the draft on one pipeline, starting after the confirmed prefix.
    pub(super) async fn run_attempt(
        &mut self,
        route: &DraftRoute,
        flight: &mut FlightGuard,
    ) -> AttemptEnd {
        let Some(head) = route.stages.first().map(|stage| stage.server.clone()) else {
            return failed("planner".into(), "it chose an empty pipeline");
        };
        if let Err(reason) = self.begin(route) {
            return AttemptEnd::Failed {
                server: head,
                reason,
                started: false,
            };
        }
        // Leases are checked again after every wait: a process that was paused could otherwise
        // use an expired lease.
        let now = self.context.clock.now();
        let fleet = &self.context.fleet;
        let expired = route
            .stages
            .iter()
            .find(|stage| !fleet.may_take_work(now, &stage.server));
        if let Some(stage) = expired {
            return AttemptEnd::Failed {
                server: stage.server.clone(),
                reason: "its lease ran out".to_owned(),
                started: false,
            };
        }
        match self.open(route).await {
            Ok(reader) => {
                let end = self.relay(&head, reader, flight).await;
                self.send_waiting().await;
                end
            }
            Err(error) => AttemptEnd::Failed {
                server: head,
                reason: error.to_string(),
                // Only a connection that was never opened proves that no layer ran.
                started: !matches!(error, ClientError::NotSent { .. }),
            },
        }
    }

    fn begin(&mut self, route: &DraftRoute) -> Result<TokenPosition, String> {
        let ledger = self.ledger.get_or_insert_with(|| {
            TokenLedger::new(
                self.job.id.clone(),
                route.plan.model_layers,
                route.plan.version.clone(),
                self.context.drafts.ledger,
            )
        });
        self.attempt = self.attempt.next();
        ledger
            .begin_attempt(self.attempt, route.plan.chain())
            .map_err(|error| error.to_string())
    }

    async fn open(&mut self, route: &DraftRoute) -> Result<LineReader, ClientError> {
        let address = route.stages.first().map_or("", |stage| &stage.address);
        let body = self.sequence_request(route);
        let call = self.context.client.post(address, SEQUENCE_PATH, &body);
        let wait = self.context.drafts.first_event_timeout;
        let answer = tokio::time::timeout(wait, call).await.unwrap_or_else(|_| {
            Err(ClientError::NoAnswer {
                reason: "no answer in time".to_owned(),
            })
        });
        let response = answer?;
        if response.status() != StatusCode::OK {
            return Err(ClientError::BadAnswer {
                reason: format!("status {}", response.status()),
            });
        }
        Ok(LineReader::new(response))
    }

    fn sequence_request(&self, route: &DraftRoute) -> SequenceRequest {
        let confirmed = self
            .ledger
            .as_ref()
            .map_or(&[][..], TokenLedger::released_prefix);
        SequenceRequest {
            request: self.job.id.to_string(),
            attempt: self.attempt.0,
            model: self.job.model.to_string(),
            version: route.plan.version.to_string(),
            adapter: self.job.adapter.as_ref().map(ToString::to_string),
            priority: self
                .job
                .served
                .selected
                .settings
                .priority
                .map_or(0, i32::from),
            prompt: self.job.prompt.clone(),
            confirmed: confirmed.iter().map(|token| token.id).collect(),
            max_tokens: self.job.max_tokens,
            route: route.stages.iter().map(route_stage).collect(),
        }
    }

    async fn relay(
        &mut self,
        head: &ServerName,
        mut reader: LineReader,
        flight: &mut FlightGuard,
    ) -> AttemptEnd {
        let stall_timeout = self.context.drafts.stall_timeout;
        let mut deadline = Instant::now() + self.context.drafts.first_event_timeout;
        loop {
            let line = tokio::select! {
                biased;
                event = self.copies.next_event() => {
                    self.handle_copy_event(event).await;
                    // A caller that reads slowly stops the engine as well.
                    deadline = deadline.max(Instant::now() + stall_timeout);
                    continue;
                }
                line = timeout_at(deadline, reader.next_line()) => line,
            };
            let line = match line {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => {
                    return failed(head.clone(), "the stream ended before its last event");
                }
                Ok(Err(error)) => {
                    return AttemptEnd::Failed {
                        server: head.clone(),
                        reason: error.to_string(),
                        started: true,
                    };
                }
                Err(_) => return failed(head.clone(), "it fell silent"),
            };
            let Ok(event) = serde_json::from_slice::<SequenceEvent>(&line) else {
                return failed(head.clone(), "it sent an event that can't be read");
            };
            flight.record_first_token();
            if let Some(end) = self.handle_event(head, event).await {
                return end;
            }
            deadline = Instant::now() + stall_timeout;
        }
    }

    async fn handle_event(
        &mut self,
        head: &ServerName,
        event: SequenceEvent,
    ) -> Option<AttemptEnd> {
        match event {
            SequenceEvent::Token(event) => self.handle_token(head, event).await,
            SequenceEvent::Complete(event) => {
                let last = FinalEvent {
                    request: event.request.as_str().into(),
                    attempt: AttemptNumber(event.attempt),
                    count: event.count,
                };
                let ledger = self.ledger.as_mut()?;
                match ledger.complete(&last) {
                    FinalVerdict::Complete => Some(AttemptEnd::Complete {
                        reason: event.finish_reason,
                    }),
                    FinalVerdict::Waiting { next } => Some(failed(
                        head.clone(),
                        &format!("it ended without token {next}"),
                    )),
                    FinalVerdict::Dropped(reason) => {
                        Some(failed(head.clone(), &reason.to_string()))
                    }
                }
            }
            SequenceEvent::Failed(event) => Some(AttemptEnd::Failed {
                server: event.server.as_str().into(),
                reason: event.reason,
                started: event.started || self.next_position() > TokenPosition(0),
            }),
        }
    }

    async fn handle_token(&mut self, head: &ServerName, event: TokenEvent) -> Option<AttemptEnd> {
        let ledger = self.ledger.as_mut()?;
        match ledger.accept(token_result(event)) {
            TokenVerdict::Release { tokens, .. } => {
                self.job.record.record_first_byte().await;
                self.job.record.record_tokens(tokens.len());
                self.release(tokens);
                None
            }
            TokenVerdict::Held => None,
            TokenVerdict::Dropped(reason) if reason.ends_attempt() => {
                Some(failed(head.clone(), &reason.to_string()))
            }
            TokenVerdict::Dropped(_) => None,
        }
    }
}

fn failed(server: ServerName, reason: &str) -> AttemptEnd {
    AttemptEnd::Failed {
        server,
        reason: reason.to_owned(),
        started: true,
    }
}
