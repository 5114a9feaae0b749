//! What an endpoint's response says about the attempt.

use tindoor::host::{AttemptStatus, OutcomeDetail};

/// The attempt status for a status code, with whether `X-Shed` is set; `None` for codes that the protocol
/// does not name.
pub fn attempt_status(status: u16, rejected: bool) -> Option<AttemptStatus> {
    match (status, rejected) {
        (200 | 304, _) => Some(AttemptStatus::Served),
        (404, _) => Some(AttemptStatus::Miss),
        (503, true) => Some(AttemptStatus::Overloaded),
        (504, true) => Some(AttemptStatus::Superseded),
        (500, _) => Some(AttemptStatus::Error),
        _ => None,
    }
}

/// The detail for an `X-Remark`; `None` for words that the protocol does not name.
pub fn outcome_detail(remark: &str) -> Option<OutcomeDetail> {
    Some(match remark {
        "" => OutcomeDetail::Unknown,
        "warm" => OutcomeDetail::Hit,
        "fill" => OutcomeDetail::FilledFromSource,
        "deep_fill" => OutcomeDetail::FilledFromOrigin,
        "piggy" => OutcomeDetail::JoinedFill,
        "aged" => OutcomeDetail::StaleHit,
        "bounced" => OutcomeDetail::SourceOverloaded,
        "dropped" => OutcomeDetail::SourceUnreachable,
        "lacking" => OutcomeDetail::SourceMiss,
        "jammed" => OutcomeDetail::NoFillSlot,
        "backfire" => OutcomeDetail::OriginFailed,
        _ => return None,
    })
}
