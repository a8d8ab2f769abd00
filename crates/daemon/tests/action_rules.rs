//! The rules on what may be sent, closed and ended now, case by case, and the count of violations.

use bellsill_daemon::action_rules::{
    ClientFacts, NotificationFacts, ProcessFacts, Prohibition, RequestFacts, RestrictedAction,
    Violations, may_close_client, may_end_process, may_send_notification, may_send_request,
};

const SENDABLE: RequestFacts = RequestFacts {
    message_ended: false,
    before_deadline: true,
    allowed: true,
};
const IDLE_CLIENT: ClientFacts = ClientFacts {
    client_gone: false,
    session_ended: false,
    is_unread: false,
    has_complete_command: false,
    has_unsent_reply: false,
    overdue: false,
};

#[test]
fn a_request_is_sent_only_for_a_pending_message_in_time() {
    assert_eq!(may_send_request(SENDABLE), Ok(()));
    let ended = RequestFacts {
        message_ended: true,
        ..SENDABLE
    };
    assert_eq!(may_send_request(ended), Err(Prohibition::MessageEnded));
    let late = RequestFacts {
        before_deadline: false,
        ..SENDABLE
    };
    assert_eq!(may_send_request(late), Err(Prohibition::DeadlinePassed));
    let forbidden = RequestFacts {
        allowed: false,
        ..SENDABLE
    };
    assert_eq!(may_send_request(forbidden), Err(Prohibition::NotAllowed));
}

#[test]
fn a_notification_is_sent_only_once_it_is_recorded_or_nothing_can_follow_it() {
    let recorded = NotificationFacts {
        message_ended: true,
        is_recorded: true,
        lifetime_over: false,
    };
    assert_eq!(may_send_notification(recorded), Ok(()));
    let unrecorded = NotificationFacts {
        is_recorded: false,
        ..recorded
    };
    assert_eq!(
        may_send_notification(unrecorded),
        Err(Prohibition::NotRecorded)
    );
    let overdue = NotificationFacts {
        lifetime_over: true,
        ..unrecorded
    };
    assert_eq!(may_send_notification(overdue), Ok(()));
    let pending = NotificationFacts {
        message_ended: false,
        ..recorded
    };
    assert_eq!(
        may_send_notification(pending),
        Err(Prohibition::MessagePending)
    );
}

#[test]
fn a_client_is_closed_only_with_nothing_owed_to_it() {
    assert_eq!(may_close_client(IDLE_CLIENT), Ok(()));
    let unanswered = ClientFacts {
        has_complete_command: true,
        ..IDLE_CLIENT
    };
    assert_eq!(
        may_close_client(unanswered),
        Err(Prohibition::CommandUnanswered)
    );
    let gone = ClientFacts {
        client_gone: true,
        ..unanswered
    };
    assert_eq!(may_close_client(gone), Ok(()));
    let unread = ClientFacts {
        is_unread: true,
        overdue: true,
        ..IDLE_CLIENT
    };
    assert_eq!(may_close_client(unread), Err(Prohibition::InputUnread));
    let unsent = ClientFacts {
        has_unsent_reply: true,
        ..IDLE_CLIENT
    };
    assert_eq!(may_close_client(unsent), Err(Prohibition::ReplyUnsent));
    let not_reading = ClientFacts {
        overdue: true,
        ..unsent
    };
    assert_eq!(may_close_client(not_reading), Ok(()));
}

#[test]
fn a_process_ends_with_nothing_left_to_do_or_at_its_time_limit() {
    let idle = ProcessFacts {
        time_limit_reached: false,
        has_clients: false,
        has_attempts: false,
        has_pending_work: false,
    };
    assert_eq!(may_end_process(idle), Ok(()));
    let busy = ProcessFacts {
        has_attempts: true,
        ..idle
    };
    assert_eq!(may_end_process(busy), Err(Prohibition::AttemptsInFlight));
    let out_of_time = ProcessFacts {
        time_limit_reached: true,
        ..busy
    };
    assert_eq!(may_end_process(out_of_time), Ok(()));
}

#[test]
fn only_forbidden_actions_are_counted_as_violations() {
    let mut violations = Violations::default();
    violations.check(RestrictedAction::SendRequest, Ok(()), "message 1");
    assert_eq!(violations.count(RestrictedAction::SendRequest), 0);
    violations.check(
        RestrictedAction::SendRequest,
        Err(Prohibition::MessageEnded),
        "message 2",
    );
    assert_eq!(violations.count(RestrictedAction::SendRequest), 1);
    assert_eq!(violations.count(RestrictedAction::CloseClient), 0);
}
