//! What an answer of a cache says of the attempt.

use tindoor::host::{AttemptStatus, OutcomeDetail};

/// The verdict that a status stands for, with whether `X-Shed` is set; none for one that no page names.
pub fn attempt_status(status: u16, shed: bool) -> Option<AttemptStatus> {
    match (status, shed) {
        (200 | 304, _) => Some(AttemptStatus::Served),
        (404, _) => Some(AttemptStatus::Miss),
        (503, true) => Some(AttemptStatus::Overloaded),
        (504, true) => Some(AttemptStatus::Superseded),
        (500, _) => Some(AttemptStatus::Error),
        _ => None,
    }
}

/// The note that a remark stands for; none for one that no page names.
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
