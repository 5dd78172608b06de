//! The `events` module cuts a stream of server-sent events into whole events.
//!
//! A backend server may stop in the middle of an event. Only whole events go to
//! the caller, so that another server can go on after the last of them.

use bytes::{Bytes, BytesMut};

/// The most bytes of one event; a longer one is not one of a model's answer.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The end of an event.
const BLANK_LINE: &[u8] = b"\n\n";

/// `EventSplitter` holds back the part of an event that has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in `data` and returns the whole events that it completes, unchanged.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let from = self.buf.len().saturating_sub(BLANK_LINE.len() - 1);
        self.buf.extend_from_slice(data);
        let Some(end) = last_event_end(&self.buf[from..]) else { return Bytes::new() };
        let events = self.buf.split_to(from + end).freeze();
        self.record_ids(&events);
        events
    }

    /// Tells whether part of an event is held back.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Tells whether the stream has gone past what an event may hold.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Forgets the part of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns how many whole events have passed.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|b| *b == b'\n') {
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                self.events += 1;
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_string());
            }
        }
    }
}

/// Returns where the last whole event in `buf` ends.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(BLANK_LINE.len()).rposition(|pair| pair == BLANK_LINE)?;
    Some(at + BLANK_LINE.len())
}
