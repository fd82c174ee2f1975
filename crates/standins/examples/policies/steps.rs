//! Steps of the simulated engines and the links between them.

use crate::experiment::{Event, Experiment, WorkItem};
use crate::failure::DETECTION_DELAY;
use crate::fleet::{ACTIVATION_BYTES, links};

const PREFILL_CHUNK: u32 = 1_024;

impl Experiment {
    pub(crate) fn deliver(&mut self, engine: usize, item: WorkItem) {
        if self.engines[engine].is_crashed {
            let sequence = item.sequence;
            self.schedule(DETECTION_DELAY, Event::Lost { engine, sequence });
            return;
        }
        let sequence = self.sequences.get(item.sequence);
        let is_resumed = sequence.is_some_and(|sequence| sequence.job.lost.is_some());
        let queues = &mut self.engines[engine];
        if item.prompt > 0 && is_resumed {
            // A resumed request has a high priority, which engines honour: its caller already has
            // part of the answer, so it runs before requests without any token.
            queues.prefill.push_front(item);
        } else if item.prompt > 0 {
            queues.prefill.push_back(item);
        } else {
            queues.decode.push_back(item);
        }
        self.begin_step(engine);
    }

    /// Starts one step with all decode items, and prompts until their tokens reach the chunk size;
    /// the last prompt may exceed it.
    fn begin_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.is_crashed
            || engine.is_busy
            || (engine.decode.is_empty() && engine.prefill.is_empty())
        {
            return;
        }
        let mut batch: Vec<WorkItem> = engine.decode.drain(..).collect();
        let mut chunk = 0;
        while let Some(item) = engine.prefill.pop_front() {
            let sequence = self.sequences.get(item.sequence);
            chunk += sequence.map_or(0, |sequence| sequence.uncached_tokens(item.stage));
            batch.push(item);
            if chunk >= PREFILL_CHUNK {
                break;
            }
        }
        let announced = &self.announced[index];
        let mut seconds = 0.0;
        let mut largest: f64 = 0.0;
        batch.retain(|item| self.sequences.contains_key(item.sequence));
        for item in &batch {
            let sequence = &self.sequences[item.sequence];
            let run = sequence.plan.stages[item.stage].layers.len();
            let part = f64::from(run) / f64::from(announced.layers.len());
            largest = largest.max(part);
            seconds += if item.prompt > 0 {
                let tokens = f64::from(sequence.uncached_tokens(item.stage));
                announced.prefill_rate.seconds_for(tokens) * part
            } else {
                announced.decode_rate.seconds_for(1.0) * part
            };
        }
        let compute_micros = (seconds * 1e6) as u64;
        let seconds = seconds.max(announced.step_floor.as_secs_f64() * largest);
        engine.batch = batch;
        engine.is_busy = true;
        let micros = (seconds * 1e6) as u64;
        if self.now >= self.measured_from {
            engine.step_micros += micros;
            engine.compute_micros += compute_micros;
        }
        self.schedule(micros, Event::StepDone { engine: index });
    }

    pub(crate) fn finish_step(&mut self, index: usize) {
        let batch = std::mem::take(&mut self.engines[index].batch);
        self.engines[index].is_busy = false;
        for item in batch {
            let Some(sequence) = self.sequences.get_mut(item.sequence) else {
                continue;
            };
            if item.prompt > 0 {
                sequence.prefilled = item.stage + 1;
                let tokens = u64::from(sequence.uncached_tokens(item.stage));
                self.engines[index].load.prefill.0 -= tokens;
            }
            let next = item.stage + 1;
            match sequence.engines.get(next).copied() {
                Some(engine) => self.forward(
                    index,
                    engine,
                    WorkItem {
                        stage: next,
                        ..item
                    },
                ),
                None => self.emit(item),
            }
        }
        self.begin_step(index);
    }

    /// Schedules the delivery of activations after the link of the sender, and the link between
    /// data centres if they differ, have transferred them.
    fn forward(&mut self, from: usize, engine: usize, item: WorkItem) {
        let (sender, receiver) = (&self.announced[from], &self.announced[engine]);
        let tokens = match item.prompt {
            0 => 1,
            _ => self.sequences[item.sequence]
                .uncached_tokens(item.stage)
                .max(1),
        };
        let bytes = u64::from(ACTIVATION_BYTES) * u64::from(tokens);
        let rate = sender.link_rate.0.min(receiver.link_rate.0);
        let start = self.engines[from].link_free.max(self.now);
        let mut done = start + bytes * 1_000_000 / rate;
        self.engines[from].link_free = done;
        let mut latency = 50;
        let (one, other) = (&sender.data_centre, &receiver.data_centre);
        let found = links().into_iter().find(|(a, b, _)| {
            (*a == one.as_str() && *b == other.as_str())
                || (*b == one.as_str() && *a == other.as_str())
        });
        if let Some((_, _, link)) = found {
            let wire = self
                .wires
                .entry((one.to_string(), other.to_string()))
                .or_default();
            *wire = (*wire).max(self.now) + bytes * 1_000_000 / link.rate.0;
            done = done.max(*wire);
            latency = u64::try_from(link.latency.as_micros()).unwrap_or(u64::MAX);
        }
        let WorkItem {
            sequence,
            stage,
            prompt,
        } = item;
        self.schedule(
            done - self.now + latency,
            Event::Deliver {
                engine,
                sequence,
                stage,
                prompt,
            },
        );
    }
}
