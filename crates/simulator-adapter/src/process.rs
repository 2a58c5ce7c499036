//! The instances of this process: applies the records of a batch in their order.

use crate::error::AdapterError;
use crate::event::{read_endpoints, record_code, Event, Limits};
use crate::fields::Fields;
use crate::host::Host;
use crate::reply::Reply;
use magpiewick::{Endpoint, EndpointUpdate};
use magpiewick_instance_settings::InstanceSettings;
use std::collections::{BTreeMap, BTreeSet};

/// How many tables of endpoints a process keeps.
const MAX_TABLES: usize = 16;

/// The tables that records name, and the running instances by number.
#[derive(Default)]
pub(crate) struct Process {
    tables: [Option<Vec<(u32, Endpoint)>>; MAX_TABLES],
    instances: BTreeMap<u32, Instance>,
}

struct Instance {
    host: Host,
    limits: Limits,
}

impl Process {
    /// Applies a batch: first its records in their order, then what is due at the instances that it named.
    pub(crate) fn apply_batch(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), AdapterError> {
        let mut fields = Fields::new(frame);
        let now_ns = fields.u64("the clock")?;
        fields.u32("the length")?;
        let records = fields.u32("the number of records")?;
        reply.open(fields.u32("the number of the batch")?);
        let mut named = BTreeSet::new();
        for _ in 0..records {
            self.apply_record(now_ns, &mut fields, &mut named, reply)?;
        }
        if !fields.at_end() {
            return Err(fields.invalid("the frame goes on behind its last record"));
        }
        for number in named {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.host.run(now_ns, reply);
            }
        }
        Ok(())
    }

    fn apply_record(
        &mut self,
        now_ns: u64,
        fields: &mut Fields<'_>,
        named: &mut BTreeSet<u32>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let code = fields.u8("a record's code")?;
        match code {
            record_code::TABLE => self.set_table(fields),
            record_code::STREAM_STARTED..=record_code::TIMER => {
                let number = fields.u32("the instance")?;
                named.insert(number);
                match code {
                    record_code::START => self.start_instance(number, now_ns, fields),
                    _ => self.apply_event(code, number, now_ns, fields, reply),
                }
            }
            _ => Err(fields.invalid(format_args!("unknown record code {code}"))),
        }
    }

    fn set_table(&mut self, fields: &mut Fields<'_>) -> Result<(), AdapterError> {
        let number = usize::from(fields.u16("a table's number")?);
        if number >= MAX_TABLES {
            return Err(fields.invalid(format_args!("impossible table number {number}")));
        }
        self.tables[number] = Some(read_endpoints(fields)?);
        Ok(())
    }

    fn start_instance(
        &mut self,
        number: u32,
        now_ns: u64,
        fields: &mut Fields<'_>,
    ) -> Result<(), AdapterError> {
        let seed = fields.u64("a seed")?;
        let length = fields.u32("the settings' length")? as usize;
        let text = fields.bytes(length, "the settings")?;
        let text = std::str::from_utf8(text).map_err(|_| fields.invalid("the settings are not text"))?;
        let config = InstanceSettings::from_pairs(text)
            .and_then(|settings| settings.scheduler_config(seed))
            .map_err(|error| AdapterError::Settings(error.to_string()))?;
        let limits = Limits { classes: config.classes.len(), policies: config.policies.len() };
        let host = Host::new(number, config, now_ns);
        self.instances.insert(number, Instance { host, limits });
        Ok(())
    }

    fn apply_event(
        &mut self,
        code: u8,
        number: u32,
        now_ns: u64,
        fields: &mut Fields<'_>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let Some(Instance { host, limits }) = self.instances.get_mut(&number) else {
            let problem = format_args!("an event for instance {number}, which does not run");
            return Err(fields.invalid(problem));
        };
        match Event::read(code, fields, *limits)? {
            Event::Request(incoming) => host.submit(now_ns, incoming, reply),
            Event::Outcome { request_id, answer } => host.on_outcome(now_ns, request_id, answer, reply),
            Event::Gossip { from, message } => host.on_gossip(now_ns, from, message),
            Event::EndpointUpdate { update: EndpointUpdate::PollFailed, .. } => {
                host.on_endpoint_update(now_ns, EndpointUpdate::PollFailed, &[]);
            }
            Event::EndpointUpdate { table, update } => {
                let Some(endpoints) = self.tables.get(table).and_then(|table| table.as_deref()) else {
                    return Err(fields.invalid(format_args!("table {table} was never sent")));
                };
                host.on_endpoint_update(now_ns, update, endpoints);
            }
            Event::ClientDisconnect { request_id } => host.on_client_disconnect(now_ns, request_id),
            Event::Timer { label } => host.on_timer(label),
            Event::Killed => _ = self.instances.remove(&number),
            Event::Ignored => {}
        }
        Ok(())
    }
}
