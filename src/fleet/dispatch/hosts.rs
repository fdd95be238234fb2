//! Exchange with the store hosts that carry out runs.

use crate::event;
use crate::events;
use crate::fleet::delegation;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::frame;
use crate::fleet::peer;
use crate::fleet::settings;
use std::sync::Arc;

impl Dispatcher {
    /// Hosts to which runs may be handed, with their failure domains: the other store hosts except
    /// those that are being retired.
    fn run_hosts(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let retiring = peer::lock(&self.shared.ledger).retiring_hosts().to_vec();
        let own = self.node.peers.own();
        self.node.view.directory(|d| {
            let stores = d.hosts(settings::Role::Store);
            let others = stores.filter(|h| h.link != *own && !retiring.contains(&h.link));
            others.map(|h| (h.link.clone(), h.domain.clone())).collect()
        })
    }

    /// Sends the hosts that carry out runs what has changed, and interrupts the runs of silent hosts.
    pub(super) fn send_orders(&mut self) {
        for number in std::mem::take(&mut *peer::lock(&self.stops)) {
            self.delegator.stop(number);
        }
        let now = self.node.now();
        let (interrupted, hosts) = self.delegator.expire(now);
        for host in hosts {
            event!(self.node.log, events::RUN_HOST_SILENT; "peer" => &*host,
                "runs" => interrupted.len());
        }
        for report in interrupted {
            self.handle_report(report);
        }
        if self.has_items {
            self.delegator.set_hosts(self.run_hosts());
        }
        for (host, orders) in self.delegator.due_orders(now, self.has_items) {
            self.node.peers.cast(&host, frame::Cast::RunOrders(orders));
        }
    }

    /// Handles a report of a host that carries out runs.
    pub(super) fn handle_run_reports(&mut self, from: &Arc<str>, reports: delegation::Reports) {
        let now = self.node.now();
        for report in self.delegator.record_reports(now, from, reports) {
            self.handle_report(report);
        }
    }
}
