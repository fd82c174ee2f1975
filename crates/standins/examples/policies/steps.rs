//! Steps of the fake engines, and the links between them.

use crate::experiment::{Event, Experiment, WorkItem};
use crate::failure::DETECT;
use crate::fleet::{ACTIVATION_BYTES, links};

const PREFILL_CHUNK: u32 = 1_024;

impl Experiment {
    pub(crate) fn deliver(&mut self, engine: usize, item: WorkItem) {
        if self.engines[engine].is_dead {
            let sequence = item.sequence;
            self.schedule(DETECT, Event::Lost { engine, sequence });
            return;
        }
        let sequence = self.sequences.get(item.sequence);
        let is_resumed = sequence.is_some_and(|sequence| sequence.job.lost.is_some());
        let queues = &mut self.engines[engine];
        if item.prompt > 0 && is_resumed {
            // A caller that has read half an answer goes before those that have not begun; it is
            // sent with a high priority, which engines honour.
            queues.prefill.push_front(item);
        } else if item.prompt > 0 {
            queues.prefill.push_back(item);
        } else {
            queues.decode.push_back(item);
        }
        self.begin_step(engine);
    }

    /// One step works on all decode items and at least one prompt, up to the chunk.
    fn begin_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.is_dead
            || engine.is_busy
            || (engine.decode.is_empty() && engine.prefill.is_empty())
        {
            return;
        }
        let mut batch: Vec<WorkItem> = engine.decode.drain(..).collect();
        let mut chunk = 0;
        while let Some(item) = engine.prefill.pop_front() {
            let sequence = self.sequences.get(item.sequence);
            chunk += sequence.map_or(0, |sequence| sequence.fresh_tokens(item.stage));
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
                let fresh = f64::from(sequence.fresh_tokens(item.stage));
                announced.prefill_rate.seconds_for(fresh) * part
            } else {
                announced.decode_rate.seconds_for(1.0) * part
            };
        }
        let useful = (seconds * 1e6) as u64;
        let seconds = seconds.max(announced.step_floor.as_secs_f64() * largest);
        engine.batch = batch;
        engine.is_busy = true;
        let micros = (seconds * 1e6) as u64;
        if self.now >= self.measured_from {
            engine.worked += micros;
            engine.useful += useful;
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
                let fresh = u64::from(sequence.fresh_tokens(item.stage));
                self.engines[index].figures.prefill.0 -= fresh;
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

    /// Activations wait for the sender's link and for the link between data centres.
    fn forward(&mut self, from: usize, engine: usize, item: WorkItem) {
        let (sender, receiver) = (&self.announced[from], &self.announced[engine]);
        let fresh = match item.prompt {
            0 => 1,
            _ => self.sequences[item.sequence]
                .fresh_tokens(item.stage)
                .max(1),
        };
        let bytes = u64::from(ACTIVATION_BYTES) * u64::from(fresh);
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
