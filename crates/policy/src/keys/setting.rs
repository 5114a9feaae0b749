//! The settings of the decision library that a policy may set.

use tindoor::settings::{ClassSettings, Settings};
use tindoor::time::Span;

use super::{ANY_CLASS_PREFIX, KEYS, RequestClasses, find};
use crate::{Policy, PolicyError};

const MICROS_PER_MILLI: f64 = 1000.0;

/// A setting of the decision library that a policy may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setting {
    /// The latency objective: a response within it is in time.
    LatencyObjective,
    /// How many seconds longer the objective is for each second that sending the response takes.
    ObjectiveStretch,
    /// The priority weight of a response in time.
    PriorityWeight,
    /// The fraction of the weight that a late response has.
    LateShare,
    /// The fraction of the weight that a stale response has.
    StaleShare,
    /// The maximum age of a copy that is served.
    MaxAge,
    /// How much older a copy may be while attempts fail or fills are limited.
    StaleWhileFailing,
    /// The deadline of a request: the maximum time that a client waits.
    Deadline,
    /// How long the result of a write is kept for retries with its idempotency key.
    RetryWindow,
    /// Whether rejected requests are answered with Retry-After.
    RetryAfterSent,
    /// The maximum Retry-After.
    MaxRetryAfter,
    /// The maximum number of attempts of a request.
    MaxAttempts,
    /// Whether attempts may be cancelled.
    Cancellation,
    /// Whether a parent or the origin may respond without a cache.
    BypassAllowed,
    /// The fraction of its capacity that a cache has at its start.
    CacheInitialShare,
    /// How many times its current capacity a warming cache can absorb.
    CacheOverloadMultiple,
    /// How long a cache takes to warm up.
    CacheRampDuration,
    /// The fraction of its capacity that a parent has at its start.
    ParentInitialShare,
    /// How many times its current capacity a warming parent can absorb.
    ParentOverloadMultiple,
    /// How long a parent takes to warm up.
    ParentRampDuration,
    /// The sliding window over which the load of a warming endpoint is counted.
    SlowStartWindow,
    /// The time after a purge at which no copy from before the purge is left.
    CopiesGoneAfter,
    /// How long attempts at a draining cache may take to end.
    DrainGrace,
    /// How long a purge may take to apply.
    PurgeGrace,
}

/// A reference to the field of a setting, by the type of the field.
enum Field<'a> {
    Span(&'a mut Span),
    OptionalSpan(&'a mut Option<Span>),
    Number(&'a mut Option<f64>),
    Flag(&'a mut Option<bool>),
    Count(&'a mut Option<u32>),
}

impl Field<'_> {
    /// Returns the number that sets the field in a policy; `None` if the field is not set.
    fn get(&self) -> Option<f64> {
        let millis = |span: Span| span.as_micros() as f64 / MICROS_PER_MILLI;
        match self {
            Self::Span(span) => Some(millis(**span)),
            Self::OptionalSpan(span) => span.map(millis),
            Self::Number(number) => **number,
            Self::Flag(flag) => flag.map(|flag| f64::from(u8::from(flag))),
            Self::Count(count) => count.map(f64::from),
        }
    }

    /// Sets the field to a number of a policy.
    fn set(&mut self, number: f64) {
        let span = || Span::micros((number * MICROS_PER_MILLI).round() as u64);
        match self {
            Self::Span(field) => **field = span(),
            Self::OptionalSpan(field) => **field = Some(span()),
            Self::Number(field) => **field = Some(number),
            Self::Flag(field) => **field = Some(number > 0.0),
            Self::Count(field) => **field = Some(number.ceil() as u32),
        }
    }
}

impl Setting {
    /// Returns the field of this setting. For a setting that each request class has, this is the field of the
    /// class with the index `class`; `None` if there is no such class.
    fn field(self, settings: &mut Settings, class: Option<usize>) -> Option<Field<'_>> {
        let Settings { topology, attempts, rejection, slow_start, purges, .. } = settings;
        Some(match self {
            Self::RetryAfterSent => Field::Flag(&mut rejection.retry_after_sent),
            Self::MaxRetryAfter => Field::OptionalSpan(&mut rejection.max_retry_after),
            Self::MaxAttempts => Field::Count(&mut attempts.max_attempts),
            Self::Cancellation => Field::Flag(&mut attempts.cancellation),
            Self::DrainGrace => Field::Span(&mut attempts.drain_grace),
            Self::BypassAllowed => Field::Flag(&mut topology.bypass_allowed),
            Self::CacheInitialShare => Field::Number(&mut slow_start.caches.initial_share),
            Self::CacheOverloadMultiple => Field::Number(&mut slow_start.caches.overload_multiple),
            Self::CacheRampDuration => Field::OptionalSpan(&mut slow_start.caches.duration),
            Self::ParentInitialShare => Field::Number(&mut slow_start.parents.initial_share),
            Self::ParentOverloadMultiple => Field::Number(&mut slow_start.parents.overload_multiple),
            Self::ParentRampDuration => Field::OptionalSpan(&mut slow_start.parents.duration),
            Self::SlowStartWindow => Field::OptionalSpan(&mut slow_start.window),
            Self::CopiesGoneAfter => Field::OptionalSpan(&mut purges.copies_gone_after),
            Self::PurgeGrace => Field::OptionalSpan(&mut purges.grace),
            class_setting => return class_setting.class_field(settings.classes.get_mut(class?)?),
        })
    }

    fn class_field(self, class: &mut ClassSettings) -> Option<Field<'_>> {
        Some(match self {
            Self::LatencyObjective => Field::Span(&mut class.latency_objective),
            Self::ObjectiveStretch => Field::Number(&mut class.objective_stretch),
            Self::PriorityWeight => Field::Number(&mut class.priority_weight),
            Self::LateShare => Field::Number(&mut class.late_share),
            Self::StaleShare => Field::Number(&mut class.stale_share),
            Self::MaxAge => Field::OptionalSpan(&mut class.max_age),
            Self::StaleWhileFailing => Field::OptionalSpan(&mut class.stale_while_failing),
            Self::Deadline => Field::Span(&mut class.deadline),
            Self::RetryWindow => Field::OptionalSpan(&mut class.retry_window),
            _ => return None,
        })
    }
}

/// Returns the policy that has the values of a deployment's settings. Omits keys whose setting is not set,
/// and keys that the router itself applies.
pub fn from_settings(settings: &Settings, classes: RequestClasses) -> Policy {
    let mut settings = settings.clone();
    let mut policy = Policy::default();
    for key in KEYS {
        let Some(setting) = key.setting else { continue };
        let is_of_class = key.name.starts_with(ANY_CLASS_PREFIX);
        let scopes = if is_of_class { (0..classes.len()).map(Some).collect() } else { vec![None] };
        for class in scopes {
            let number = setting.field(&mut settings, class).and_then(|field| field.get());
            let name = match class {
                Some(class) => key.name.replace('*', &classes[class]),
                None => key.name.to_string(),
            };
            policy.0.extend(number.map(|number| (name, number)));
        }
    }
    policy
}

/// Returns a copy of a deployment's settings in which the numbers of the policy replace the original values.
pub fn apply_to_settings(
    policy: &Policy,
    settings: &Settings,
    classes: RequestClasses,
) -> Result<Settings, PolicyError> {
    let mut settings = settings.clone();
    for (name, number) in &policy.0 {
        let key = find(name, classes)?;
        let setting = key.declaration.setting;
        if let Some(mut field) = setting.and_then(|setting| setting.field(&mut settings, key.class)) {
            field.set(*number);
        }
    }
    Ok(settings)
}
