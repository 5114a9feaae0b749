//! What an answer of a cache says of the dispatch.

use tindoor::host::{Note, Verdict};

/// The verdict that a status stands for, with whether `X-Shed` is set; none for one that no page names.
pub fn verdict(status: u16, shed: bool) -> Option<Verdict> {
    match (status, shed) {
        (200 | 304, _) => Some(Verdict::Done),
        (404, _) => Some(Verdict::Miss),
        (503, true) => Some(Verdict::Full),
        (504, true) => Some(Verdict::Moot),
        (500, _) => Some(Verdict::Error),
        _ => None,
    }
}

/// The note that a remark stands for; none for one that no page names.
pub fn note(remark: &str) -> Option<Note> {
    Some(match remark {
        "" => Note::Untold,
        "warm" => Note::Hit,
        "fill" => Note::Filled,
        "deep_fill" => Note::FilledByOrigin,
        "piggy" => Note::Joined,
        "aged" => Note::OldCopy,
        "bounced" => Note::SourceRefused,
        "dropped" => Note::SourceLost,
        "lacking" => Note::SourceLacks,
        "jammed" => Note::NoFillPlace,
        "backfire" => Note::OriginFailed,
        _ => return None,
    })
}
