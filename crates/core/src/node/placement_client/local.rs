//! Placement with the local scheduler.

use super::{PlacementClient, Running, Waiting};
use crate::{
    node::{CallId, NodeReply, Outbox, Output, Placement},
    placement::{Action, Relocation, Request},
    units::Instant,
    wire::Body,
};

impl PlacementClient {
    /// Queues a request at the local scheduler.
    pub(super) fn place_locally(
        &mut self,
        call: CallId,
        req: Request,
        deadline: Instant,
        now: Instant,
        out: &mut Outbox,
    ) {
        if let Err(error) = self.local.enqueue(req.clone(), now) {
            out.reply(call, NodeReply::Placed(Err(error)));
            return;
        }
        self.waiting.insert(call, Waiting { req, deadline, fail_at: deadline, remote: false });
        self.schedule_locally(now, out);
    }

    /// Moves requests from the queue of an unresponsive scheduler to the local one.
    pub(super) fn reclaim_waiting(&mut self, now: Instant, out: &mut Outbox) {
        let remote: Vec<CallId> =
            self.waiting.iter().filter(|(_, w)| w.remote).map(|(call, _)| *call).collect();
        for call in remote {
            let Some(mut waiting) = self.waiting.remove(&call) else { continue };
            waiting.req.max_wait = waiting.deadline.since(now);
            self.place_locally(call, waiting.req, waiting.deadline, now, out);
        }
    }

    /// Carries out the decisions of the local scheduler.
    pub(super) fn schedule_locally(&mut self, now: Instant, out: &mut Outbox) {
        if self.scheduler.is_none() {
            for Relocation { ticket, from, to } in self.local.plan_relocations(now) {
                out.push(Output::Move { call: CallId(ticket.number), from, to });
            }
        }
        for action in self.local.decide(now) {
            match action {
                Action::Start { ticket, endpoint, priority } => {
                    let call = CallId(ticket.number);
                    let Some(waiting) = self.waiting.remove(&call) else { continue };
                    let running =
                        Running { req: waiting.req, endpoint: endpoint.clone(), tokens: 0 };
                    if let Some(scheduler) = &self.scheduler {
                        // It was queued locally before the scheduler answered again.
                        out.send(scheduler, Body::Admit(running.admit_message(call)));
                    }
                    self.running.insert(call, running);
                    let sampled = self.local.sampled_endpoints(ticket, now);
                    let placement = Placement { endpoint, priority, sampled };
                    out.reply(call, NodeReply::Placed(Ok(placement)));
                }
                Action::GiveUp { ticket, error } => {
                    let call = CallId(ticket.number);
                    if self.waiting.remove(&call).is_some() {
                        out.reply(call, NodeReply::Placed(Err(error)));
                    }
                }
            }
        }
    }
}
