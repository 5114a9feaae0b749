//! Messages that the node sends.

use super::Node;
use crate::actions::Action;
use crate::messages::{Envelope, Message};

impl Node {
    pub(super) fn send(&mut self, address: &str, message: Message) {
        let envelope = Envelope {
            fleet: self.fleet.clone(),
            sender: self.identity.incarnation,
            sender_address: self.identity.address.clone(),
            message,
        };
        self.actions.push(Action::Send { address: address.to_string(), envelope });
    }
}
