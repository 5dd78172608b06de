//! The `events` module splits a stream of server-sent events at event boundaries, and checks
//! that the events of several servers make one stream.
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
}

impl EventSplitter {
    /// Appends `data` and returns the events that it completes, unmodified.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let from = self.buf.len().saturating_sub(BLANK_LINE.len() - 1);
        self.buf.extend_from_slice(data);
        let Some(end) = last_event_end(&self.buf[from..]) else { return Bytes::new() };
        self.buf.split_to(from + end).freeze()
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
}

/// `EventSequence` checks that what servers send of one stream are events, and that those of a
/// server go on where those of the one before it ended. A server may answer with the text of an
/// error instead, or begin at another event.
#[derive(Debug, Default)]
pub struct EventSequence {
    last_id: Option<Bytes>,
    events: u64,
    has_content: bool,
    /// The largest difference between the ids of two events that one server sent.
    max_step: Option<u64>,
    /// Whether the next event is the first one of another server.
    at_joint: bool,
}

impl EventSequence {
    /// Returns the sequence of a stream that goes on after the event `last_id`, if there is one.
    pub fn after(last_id: Option<Bytes>) -> EventSequence {
        EventSequence { last_id, ..EventSequence::default() }
    }

    /// Returns the id of the last event that has one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Returns the number of events with an id.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the stream can go on at another server: it has no events yet, or the last
    /// id tells which they are.
    pub fn is_resumable(&self) -> bool {
        !self.has_content || self.last_id.is_some()
    }

    /// Notes that what comes next is from another server.
    pub fn begin_run(&mut self) {
        self.at_joint = true;
    }

    /// Adds complete `events`. Returns the length of those that belong to the stream: all, or
    /// those before the first one that does not.
    pub fn accept(&mut self, events: &[u8]) -> usize {
        let mut accepted = 0;
        while let Some(length) = first_event_end(&events[accepted..]) {
            if !self.accept_one(&events[accepted..accepted + length]) {
                break;
            }
            accepted += length;
        }
        accepted
    }

    fn accept_one(&mut self, event: &[u8]) -> bool {
        let mut id = None;
        let mut has_content = false;
        for line in event.split(|b| *b == b'\n').filter(|line| !line.is_empty()) {
            let Some((name, value)) = split_field(line) else { return false };
            // A line without a name is a comment.
            has_content |= !name.is_empty();
            if name == b"id" {
                id = Some(value);
            }
        }
        let is_next = match id {
            Some(id) => self.is_next(id),
            // Once events have ids, one without an id does not tell where it belongs.
            None => !has_content || self.events == 0 && !self.at_joint,
        };
        if !is_next {
            return false;
        }
        self.has_content |= has_content;
        if let Some(id) = id {
            self.record(id);
        }
        true
    }

    /// Returns whether an event with `id` may follow: numbers rise, and at another server by no
    /// more than they did before.
    fn is_next(&self, id: &[u8]) -> bool {
        let Some(last) = &self.last_id else { return true };
        match (parse_number(last), parse_number(id)) {
            (Some(last), Some(next)) => {
                let limit = self.max_step.filter(|_| self.at_joint).unwrap_or(u64::MAX);
                next > last && next - last <= limit
            }
            _ => id.is_empty() || last != id,
        }
    }

    fn record(&mut self, id: &[u8]) {
        if !self.at_joint
            && let Some(number) = parse_number(id)
        {
            let step = match self.last_id.as_deref().map(parse_number) {
                Some(last) => last.map(|last| number - last),
                // Ids count from the beginning of the stream.
                None => Some(number.max(1)).filter(|step| *step == 1),
            };
            self.max_step = self.max_step.max(step);
        }
        self.at_joint = false;
        self.events += 1;
        self.last_id = (!id.is_empty()).then(|| Bytes::copy_from_slice(id));
    }
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

/// Splits a line into the name of a field, which is empty for a comment, and its value. Returns
/// `None` if it is no line of an event.
fn split_field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let colon = line.iter().position(|b| *b == b':');
    let (name, value) = line.split_at(colon.unwrap_or(line.len()));
    let is_name = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    let value = value.strip_prefix(b":").unwrap_or(value);
    name.iter().all(is_name).then_some((name, value.trim_ascii()))
}

/// Returns the offset at which the first complete event in `buf` ends.
fn first_event_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(BLANK_LINE.len()).position(|pair| pair == BLANK_LINE)?;
    Some(at + BLANK_LINE.len())
}

/// Returns the offset at which the last complete event in `buf` ends.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(BLANK_LINE.len()).rposition(|pair| pair == BLANK_LINE)?;
    Some(at + BLANK_LINE.len())
}
