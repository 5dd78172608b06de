//! The `events` module splits a stream of server-sent events at event boundaries.
//!
//! A backend server may stop in the middle of an event. Only complete events are
//! relayed to the caller, so that another server can continue after the last of them.

use bytes::{Bytes, BytesMut};

/// The maximum size of one event in bytes. Models do not produce longer events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The separator after an event.
const BLANK_LINE: &[u8] = b"\n\n";

/// `EventSplitter` buffers an incomplete event until the rest of it has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<Bytes>,
    events: u64,
    has_content: bool,
}

impl EventSplitter {
    /// Appends `data` and returns the events that it completes, unmodified.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let from = self.buf.len().saturating_sub(BLANK_LINE.len() - 1);
        self.buf.extend_from_slice(data);
        let Some(end) = last_event_end(&self.buf[from..]) else { return Bytes::new() };
        let events = self.buf.split_to(from + end).freeze();
        self.record_ids(&events);
        events
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Discards the incomplete event.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Returns whether the stream can go on after the complete events: there are none, or the
    /// last id tells which they are.
    pub fn is_resumable(&self) -> bool {
        !self.has_content || self.last_id.is_some()
    }

    /// Returns the number of complete events with an id.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn record_ids(&mut self, events: &Bytes) {
        for line in events.split(|b| *b == b'\n') {
            // Lines that begin with a colon are comments.
            self.has_content |= !line.is_empty() && !line.starts_with(b":");
            if let Some(id) = line.strip_prefix(b"id:") {
                self.events += 1;
                let id = id.trim_ascii();
                self.last_id = (!id.is_empty()).then(|| Bytes::copy_from_slice(id));
            }
        }
    }
}

/// Returns the offset at which the last complete event in `buf` ends.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(BLANK_LINE.len()).rposition(|pair| pair == BLANK_LINE)?;
    Some(at + BLANK_LINE.len())
}
