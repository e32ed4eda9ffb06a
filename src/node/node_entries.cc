// Methods of Node that pass entries of workers between the replicated entry table and this node's tables of workers
// (§3.5, §4.4).
#include "node/node.h"

namespace pipit {

void Node::publish_entry(wire::EntryT entry, Micros now, NodeEffects& out) {
  if (mesh.put_entry(std::move(entry), now)) mesh.flush_entries(out.mesh);
}

void Node::apply_updated_entries(Micros now, NodeEffects& out) {
  for (std::string const& key : mesh.updated_entry_keys) {
    std::map<std::string, wire::EntryT>::const_iterator const entry = mesh.entry_table.entries().find(key);
    if (entry == mesh.entry_table.entries().end()) continue;
    if (!plan.workers_self_register)
      fleet.take_entry(entry->second, now);
    else if (std::optional<wire::EntryT> refutation = registry.take_entry(entry->second, now))
      refute_entry(std::move(*refutation), now, out);
  }
  mesh.updated_entry_keys.clear();
  for (std::string const& id : registry.ended_workers) index_sync.forget(id);
  registry.ended_workers.clear();
  for (std::string const& name : fleet.restarted_workers) index_sync.forget(name);
  fleet.restarted_workers.clear();
}

// Peers refute an outdated entry at the same time, so most of them let it wait for the next round. A caller that waits
// for the end of the worker to be acknowledged has no time for that.
void Node::refute_entry(wire::EntryT entry, Micros now, NodeEffects& out) {
  bool const urgent = worker_departures_.is_pending(entry.key);
  if (mesh.put_entry(std::move(entry), now) && urgent) mesh.flush_entries(out.mesh);
}

// §4.4: a worker that is missing from the registry but not from the entry table is known again. The table retains the
// end of a worker longer than the registry does.
void Node::restore_worker(std::string const& id, Micros now) {
  if (registry.find(id) != nullptr) return;
  std::map<std::string, wire::EntryT>::const_iterator const entry = mesh.entry_table.entries().find(id);
  if (entry != mesh.entry_table.entries().end()) registry.take_entry(entry->second, now);
}

}  // namespace pipit
