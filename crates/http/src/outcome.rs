//! Maps an endpoint's response to the outcome of the attempt.

use tindoor::host::{AttemptStatus, OutcomeDetail};

/// Returns the attempt status for a status code. `rejected` states whether `X-Shed` is set. `None` for codes
/// that the protocol does not define.
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

/// Returns the outcome detail for the value of `X-Remark`. `None` for values that the protocol does not
/// define.
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
