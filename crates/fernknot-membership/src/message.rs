//! What routers say to each other about themselves, as plain values; postcard makes the bytes.

use crate::member::{Incarnation, RouterId, Standing, Verdict};
use serde::{Deserialize, Serialize};

/// Of the form of messages. Another one's are refused and counted.
pub const VERSION: u8 = 1;
/// The first byte of each datagram. What routers tell each other of nodes never begins with it: that byte counts
/// entries of two bytes, of which so many do not fit.
pub const MARK: u8 = 0xff;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub version: u8,
    /// A print of the sender's name, and when its process started, by its own clock in milliseconds.
    #[serde(with = "postcard::fixint::le")]
    pub name: u32,
    pub started: u64,
    pub incarnation: Incarnation,
    pub body: Body,
    pub rumours: Vec<Rumour>,
}

/// Numbers are the asker's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Probe {
        no: u32,
    },
    Answer {
        no: u32,
    },
    /// Probe this one for me.
    Ask {
        no: u32,
        of: RouterId,
    },
    ProbeFor {
        no: u32,
        by: RouterId,
    },
    /// To the helper; `hears`: the asker was heard here lately.
    AnswerFor {
        no: u32,
        by: RouterId,
        hears: bool,
    },
    /// The helper's words to the asker: it answered me.
    Vouch {
        no: u32,
        hears: bool,
    },
    /// The helper is there, whatever becomes of the probe.
    Trying {
        no: u32,
    },
    /// Only what is carried along.
    News,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub of: RouterId,
    pub standing: Standing,
    /// Who holds that, where it is not the router's own word.
    pub by: Option<RouterId>,
}

impl Body {
    /// Another waits for it, by a time.
    pub(crate) fn is_answer(self) -> bool {
        !matches!(self, Body::Ask { .. } | Body::ProbeFor { .. } | Body::Probe { .. } | Body::News)
    }
}

impl Rumour {
    pub(crate) fn is_own_word(&self) -> bool {
        matches!(self.standing.verdict, Verdict::Alive | Verdict::Left)
    }
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Its sender is on no list.
    Stranger,
    /// Of another form.
    Version,
    Broken,
}

impl Message {
    /// The bytes, of which there may be `most`: rumours are left out from the end until they fit, and how many
    /// stayed comes back.
    pub fn write(&mut self, most: usize) -> (Vec<u8>, usize) {
        loop {
            // A message of plain values always has a form.
            let bytes = postcard::to_extend(self, vec![MARK]).unwrap_or_default();
            if bytes.len() <= most || self.rumours.is_empty() {
                return (bytes, self.rumours.len());
            }
            let over = (bytes.len() - most).div_ceil(16).max(1);
            self.rumours.truncate(self.rumours.len().saturating_sub(over));
        }
    }

    pub fn read(bytes: &[u8]) -> Result<Message, Refused> {
        let rest = bytes.strip_prefix(&[MARK]).ok_or(Refused::Broken)?;
        if rest.first().is_some_and(|version| *version != VERSION) {
            return Err(Refused::Version);
        }
        match postcard::take_from_bytes::<Message>(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(Refused::Broken),
        }
    }
}
