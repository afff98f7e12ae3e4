//! An emulated plain service.

use std::{thread, time::Duration};

use serde_json::json;
use tiny_http::Request;
use trayswitch_http::{header, read_body, respond_json};

use super::{Endpoint, Faults, Journal, MAX_BODY, Run, answer, refuse_if_closed, with_limit};

/// Answers every call with its body and the number of its run.
#[derive(Default)]
pub(crate) struct ServiceEmulator {
    /// Time that each call takes.
    pub(crate) delay: Duration,
    faults: Faults,
    journal: Journal,
}

impl ServiceEmulator {
    /// A service whose calls take `delay`.
    pub(crate) fn new(delay: Duration) -> ServiceEmulator {
        ServiceEmulator { delay, ..ServiceEmulator::default() }
    }
}

impl Endpoint for ServiceEmulator {
    fn serve(&self, req: Request) {
        self.faults.wait_while_frozen();
        if req.url() == "/v1/load" {
            let load = json!({ "running": 0, "waiting": 0, "kv_used": 0, "leaving": self.faults.leaving() });
            return answer(respond_json(req, 200, &[], &load));
        }
        let limit = self.faults.limit();
        let Some(mut req) = refuse_if_closed(req, &self.faults) else { return };
        let Ok(body) = read_body(&mut req, MAX_BODY) else { return };
        let body = String::from_utf8_lossy(&body).into_owned();
        let name = req.url().trim_start_matches("/calls/").to_owned();
        let request_id = header(&req, "X-Request-Id").unwrap_or_default().to_owned();
        self.faults.begin(&body);
        self.journal.add(Run { request_id, name: name.clone(), detail: body.clone() });
        thread::sleep(self.delay);
        self.faults.wait_while_frozen();
        if self.faults.take_drop() || self.faults.take_cut() {
            // Dropping the writer closes the connection without an answer.
            drop(req.into_writer());
            return;
        }
        let headers = with_limit(&[], limit.as_deref());
        answer(respond_json(req, 200, &headers, &json!({ "call": name, "echo": body })));
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn journal(&self) -> &Journal {
        &self.journal
    }
}
