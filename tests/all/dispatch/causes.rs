//! Verdicts on attempts.

use trefoil_core::Outcome;
use trefoil_dispatch::{Cause, Refusal, Status};

const ALL: [Cause; 12] = [
    Cause::NotConnected,
    Cause::NothingWritten,
    Cause::PartiallyWritten,
    Cause::NoAnswer,
    Cause::TimedOut,
    Cause::Abandoned,
    Cause::Refused(Refusal::Overload),
    Cause::Refused(Refusal::Fence),
    Cause::Answered(Status(200)),
    Cause::Answered(Status(503)),
    Cause::AnsweredLate(Status(200)),
    Cause::CutOff,
];

/// Guards against "not run" for an attempt of which the upstream may have received a byte, and
/// against "done" without a whole answer.
#[test]
fn not_run_needs_proof() {
    for cause in ALL {
        let proof = matches!(
            cause,
            Cause::NotConnected | Cause::NothingWritten | Cause::Refused(_)
        );
        let whole = matches!(cause, Cause::Answered(_) | Cause::AnsweredLate(_));
        let outcome = cause.verdict().outcome;
        assert_eq!(outcome == Outcome::NotRun, proof, "{cause}");
        assert_eq!(outcome == Outcome::Done, whole, "{cause}");
    }
}

/// Guards against freeing the slot of an attempt that the upstream may still work on, and against
/// the reuse of a connection on which a late answer could reach another caller.
#[test]
fn unknown_attempts_linger() {
    for cause in ALL {
        let verdict = cause.verdict();
        assert_eq!(
            verdict.may_linger,
            verdict.outcome == Outcome::Unknown,
            "{cause}"
        );
        assert!(!verdict.reuse || !verdict.may_linger, "{cause}");
    }
}

/// Guards against "not run" after an earlier attempt that may have run.
#[test]
fn unknown_of_an_earlier_attempt_remains() {
    for cause in ALL {
        let outcome = cause.verdict().with_prior_run(true).outcome;
        assert_ne!(outcome, Outcome::NotRun, "{cause}");
    }
}
