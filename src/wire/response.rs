//! Reading a response as it arrives, which rejects what the protocol doesn't allow.

use super::{Decoder, Flaw, Framing, Head, MessageError, Step, parse_response, response_framing};

/// Maximum interim responses before the final one.
const MAX_INTERIM: u32 = 16;

/// What comes next of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// More bytes are needed.
    More,
    /// The encoded head of the final response.
    Head(Vec<u8>),
    /// Bytes of the body.
    Data(Vec<u8>),
    /// The response is complete.
    End,
}

/// Reads the final response to one request; interim responses are skipped.
#[derive(Debug, Clone)]
pub struct ResponseReader {
    method: String,
    /// Maximum size of a head, in bytes.
    head_limit: usize,
    /// Bytes that have arrived and are not decoded yet.
    input: Vec<u8>,
    interim: u32,
    body: Option<Body>,
}

#[derive(Debug, Clone)]
struct Body {
    status: u16,
    framing: Framing,
    decoder: Decoder,
}

impl ResponseReader {
    /// A reader of the response to a request with `method`.
    pub fn new(method: &str, head_limit: usize) -> Self {
        Self { method: method.to_owned(), head_limit, input: Vec::new(), interim: 0, body: None }
    }

    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Status of the final response, once its head is complete.
    pub fn status(&self) -> Option<u16> {
        self.body.as_ref().map(|b| b.status)
    }

    /// Framing of the body, once the head is complete.
    pub fn framing(&self) -> Option<Framing> {
        self.body.as_ref().map(|b| b.framing)
    }

    /// True when the response is complete.
    pub fn ended(&self) -> bool {
        self.body.as_ref().is_some_and(|b| b.decoder.ended())
    }

    /// True when the end of the connection completes the response, or it is complete already.
    pub fn may_close(&self) -> bool {
        self.body.as_ref().is_some_and(|b| b.decoder.ended() || b.decoder.until_close())
    }

    /// True when bytes have arrived after the end of the response.
    pub fn has_surplus(&self) -> bool {
        self.ended() && !self.input.is_empty()
    }

    /// Decodes what has arrived.
    pub fn next_part(&mut self) -> Result<Part, MessageError> {
        while self.body.is_none() {
            let Some(head) = parse_response(&self.input, self.head_limit)? else {
                return Ok(Part::More);
            };
            let framing = response_framing(&head, &self.method)?;
            let bytes = self.input.drain(..head.size).collect();
            if head.status >= 200 {
                self.body = Some(Body::new(&head, framing));
                return Ok(Part::Head(bytes));
            }
            self.interim += 1;
            if self.interim > MAX_INTERIM {
                return Err(Flaw::Interim.into());
            }
        }
        self.next_data()
    }

    fn next_data(&mut self) -> Result<Part, MessageError> {
        let Some(body) = &mut self.body else { return Ok(Part::More) };
        let part = match body.decoder.step(&self.input)? {
            Step::Data(_) if !super::allows_content(body.status) => {
                return Err(Flaw::Framing.into());
            }
            Step::Data(range) => Part::Data(self.input[range].to_vec()),
            Step::More => Part::More,
            Step::End => Part::End,
        };
        let used = body.decoder.consumed();
        self.input.drain(..used);
        body.decoder.shift(used);
        Ok(part)
    }
}

impl Body {
    fn new(head: &Head, framing: Framing) -> Self {
        Self { status: head.status, framing, decoder: Decoder::new(framing) }
    }
}
