//! The bench's wire in front of the decision module: frames in, calls on the module, frames out.

mod host;
mod wire;

use host::{ms, Host};
use magpiewick::{Answer, Endpoint, EndpointState, EndpointUpdate, Outcome, Request};
use magpiewick_engine::IncomingRequest;
use magpiewick_instance_settings::InstanceSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use wire::{Fault, Fields, Reply};

const HEADER: usize = 20;
const TABLES: usize = 16;
const ENTRY: usize = 22;

/// What a batch's events name: the tables and the instances of this process.
#[derive(Default)]
struct Process {
    tables: [Option<Vec<(u32, Endpoint)>>; TABLES],
    hosts: BTreeMap<u32, Instance>,
}

/// An instance with the counts that its events' fields must stay under.
struct Instance {
    host: Host,
    classes: usize,
    plans: usize,
}

impl Process {
    fn batch(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), Fault> {
        let mut f = Fields::new(frame);
        let now = f.u64("the clock")?;
        f.u32("the length")?;
        let records = f.u32("the number of records")?;
        reply.open(f.u32("the number of the batch")?);
        let mut touched = BTreeSet::new();
        for _ in 0..records {
            let code = f.u8("a record's code")?;
            match code {
                3 => self.table(&mut f)?,
                1 | 2 | 4..=11 => {
                    let number = f.u32("the instance")?;
                    touched.insert(number);
                    self.event(code, number, now, &mut f, reply)?;
                }
                _ => return Err(f.fault(format_args!("unknown record code {code}"))),
            }
        }
        if !f.at_end() {
            return Err(f.fault("the frame goes on behind its last record"));
        }
        for number in touched {
            if let Some(i) = self.hosts.get_mut(&number) {
                i.host.run(now, reply);
            }
        }
        Ok(())
    }

    fn table(&mut self, f: &mut Fields) -> Result<(), Fault> {
        let number = usize::from(f.u16("a table's number")?);
        if number >= TABLES {
            return Err(f.fault(format_args!("impossible table number {number}")));
        }
        let count = f.u32("a table's length")? as usize;
        f.holds(count.saturating_mul(ENTRY), "a table")?;
        let mut entries = Vec::with_capacity(count);
        for _ in 0..count {
            let id = f.u32("a node")?;
            let zone = usize::from(f.u16("a zone")?);
            f.u8("a machine type")?;
            let shard = usize::from(f.u16("a shard")?);
            let state = match f.u8("a condition")? {
                0 => EndpointState::Ready,
                2 => EndpointState::Draining,
                3 => EndpointState::Removed,
                other => return Err(f.fault(format_args!("impossible node condition {other} in a table"))),
            };
            f.f32("a nominal size")?;
            let started_at = f.u64("a start time")?;
            let started_at = (started_at != 0).then(|| ms(started_at));
            entries.push((id, Endpoint { node: 0, zone, shard, state, started_at }));
        }
        self.tables[number] = Some(entries);
        Ok(())
    }

    fn event(
        &mut self,
        code: u8,
        number: u32,
        now: u64,
        f: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), Fault> {
        if code == 6 {
            let seed = f.u64("a seed")?;
            let length = f.u32("the settings' length")? as usize;
            let text = f.take(length, "the settings")?;
            let text = std::str::from_utf8(text).map_err(|_| f.fault("the settings are not text"))?;
            let start = InstanceSettings::pairs(text)?.scheduler_config(seed)?;
            let (classes, plans) = (start.classes.len(), start.policies.len());
            self.hosts.insert(number, Instance { host: Host::new(number, start, now), classes, plans });
            return Ok(());
        }
        let unknown = f.fault(format_args!("an event for instance {number}, which does not run"));
        let Some(i) = self.hosts.get_mut(&number) else { return Err(unknown) };
        match code {
            1 => {
                f.take(8 + 4 + 8 + 2, "the start of a stream")?;
            }
            2 => {
                let taken = request(f, i)?;
                i.host.take(now, taken, reply);
            }
            4 => {
                let id = f.u64("a command")?;
                f.u16("a hand-off")?;
                f.u32("a node")?;
                let outcome = outcome(f)?;
                let took = f.u64("a latency")?;
                let over = f.u8("an end mark")? != 0;
                let used = f.u16("a use")?;
                let used = (used > 0).then(|| (f64::from(used) - 1.0) / 100.0);
                let others = f64::from(f.u16("a count of others")?);
                report(f)?;
                i.host.outcome(
                    now,
                    id,
                    Answer {
                        outcome,
                        latency: ms(took),
                        request_over: over,
                        volume_usage: used,
                        remote_units: others,
                    },
                    reply,
                );
            }
            5 => {
                let from = f.u16("a sender")?;
                let length = usize::from(f.u16("a message's length")?);
                i.host.told(now, from, f.take(length, "a message")?);
            }
            7 => {
                let table = usize::from(f.u16("a table's number")?);
                f.u64("a version")?;
                let news = match f.u8("a list's mode")? {
                    0 => EndpointUpdate::Delta,
                    1 => EndpointUpdate::Snapshot,
                    2 => EndpointUpdate::Restored,
                    3 => EndpointUpdate::PollFailed,
                    other => return Err(f.fault(format_args!("impossible list mode {other}"))),
                };
                let entries = match news {
                    EndpointUpdate::PollFailed => &[][..],
                    _ => match self.tables.get(table).and_then(|t| t.as_deref()) {
                        Some(entries) => entries,
                        None => return Err(f.fault(format_args!("table {table} was never sent"))),
                    },
                };
                i.host.listed(now, news, entries);
            }
            8 => i.host.abandoned(now, f.u64("a command")?),
            9 => {
                f.u32("a node")?;
                outcome(f)?;
                f.u64("a latency")?;
                report(f)?;
            }
            10 => {
                self.hosts.remove(&number);
            }
            _ => i.host.reminded(f.u32("a timer's label")?),
        }
        Ok(())
    }
}

fn request(f: &mut Fields, i: &Instance) -> Result<IncomingRequest, Fault> {
    let id = f.u64("a command")?;
    let class = usize::from(f.u16("a band")?);
    let plan = usize::from(f.u16("a plan")?);
    if class >= i.classes || plan >= i.plans.max(1) {
        return Err(
            f.fault(format_args!("a command of band {class} and plan {plan}, which were never stated"))
        );
    }
    let key = f.u64("a key")?;
    let client_timeout = ms(f.u64("a time limit")?);
    let volume = f.u64("a volume")?;
    let units = f.f32("a size")?;
    let shard = f.f32("a shard")?;
    let hosts = f.f32("a number of hosts")?;
    f.u8("a command's marks")?;
    if units < 0.0 || hosts < 0.0 || shard < -1.0 || shard > f64::from(u16::MAX) || shard.fract() != 0.0 {
        return Err(f.fault(format_args!("a command of {units} units for shard {shard} over {hosts} hosts")));
    }
    let shard = (shard >= 0.0).then_some(shard as usize);
    let request = Request {
        class,
        policy: plan,
        volume: 0,
        key: None,
        units,
        shard,
        hosts: hosts.max(1.0),
        client_timeout,
        budget_weight: 1.0,
        coalesce_with: None,
    };
    Ok(IncomingRequest { id, key, volume, request })
}

fn outcome(f: &mut Fields) -> Result<Outcome, Fault> {
    Ok(match f.u16("an outcome")? {
        10 => Outcome::Succeeded,
        20 => Outcome::Error,
        30 => Outcome::Overloaded,
        40 => Outcome::TimedOut,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::DeadlineExceeded,
        other => return Err(f.fault(format_args!("unknown outcome {other}"))),
    })
}

fn report(f: &mut Fields) -> Result<(), Fault> {
    for _ in 0..f.u8("a load report's length")? {
        f.f32("a load report")?;
    }
    Ok(())
}

/// Reads one frame into `frame`; false at the end of the input. The frame grows with what comes, not with
/// what its header promises.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, Fault> {
    let failed = |e: io::Error| format!("the input cannot be read: {e}");
    frame.clear();
    input.by_ref().take(HEADER as u64).read_to_end(frame).map_err(failed)?;
    if frame.is_empty() {
        return Ok(false);
    }
    if frame.len() < HEADER {
        return Err(format!("the input ends at byte {} of a frame's header", frame.len()));
    }
    let length = u32::from_le_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
    if length < HEADER {
        return Err(format!("a frame's length of {length} is less than its header, at byte 8 of the frame"));
    }
    input.by_ref().take((length - HEADER) as u64).read_to_end(frame).map_err(failed)?;
    if frame.len() < length {
        return Err(format!("the input ends at byte {} of a frame of {length}", frame.len()));
    }
    Ok(true)
}

fn run() -> Result<(), Fault> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut process, mut frame, mut reply) = (Process::default(), Vec::new(), Reply::default());
    while read_frame(&mut input, &mut frame)? {
        process.batch(&frame, &mut reply)?;
        let written = output.write_all(reply.close()?).and_then(|()| output.flush());
        written.map_err(|e| format!("the output cannot be written: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(fault) = run() {
        eprintln!("magpiewick-benchlink: {}", fault.replace('\n', " "));
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests;
