import type { TcpTransport } from "../runtime/tcp-transport.ts";
import { type MetricDefinition, ProcessMetrics } from "../telemetry/metrics.ts";
import type { IngressServer } from "./ingress/ingress-server.ts";
import type { NodeDaemon } from "./node-daemon.ts";

/** Creates the metrics of a node. */
export function nodeMetrics(
  daemon: NodeDaemon,
  ingress: IngressServer,
  transport: TcpTransport,
): ProcessMetrics {
  const replicas = () => [...daemon.shards.all()];
  const homes = () => [...daemon.homes.all()];
  const definitions: MetricDefinition[] = [
    gauge("shards_held", "Shard replicas on this node", () => replicas().length),
    gauge(
      "shards_led",
      "Shards that this node leads",
      () => replicas().filter((replica) => replica.leads).length,
    ),
    gauge("journal_entries", "Journal entries in memory", () =>
      replicas().reduce((sum, replica) => sum + replica.heldEntries, 0),
    ),
    gauge("programs", "Programs in memory, followed ones included", () =>
      replicas().reduce((sum, replica) => sum + replica.state.programs.size, 0),
    ),
    gauge("runner_homes", "Runners that have their home here", () => homes().length),
    gauge("active_calls", "Calls being carried out here", () => daemon.calls.activeCalls),
    gauge("callers_calls", "Calls of this node's own callers in progress", () => daemon.ingress.activeCalls),
    gauge("callers_requests", "HTTP requests of callers in progress", () => ingress.activeRequests),
    gauge("configuration_version", "Configuration version in force here", () => daemon.configuration.version),
    counter("calls_answered_total", "Calls that ended with an answer", () => daemon.calls.counters.answered),
    counter("calls_failed_total", "Calls that ended without an answer", () => daemon.calls.counters.failed),
    counter("calls_refused_total", "Calls that were refused", () => daemon.calls.counters.refused),
    counter(
      "calls_taken_over_total",
      "Calls taken over from another leader",
      () => daemon.calls.counters.takenOver,
    ),
    counter("internal_messages_sent_total", "Internal messages sent", () => transport.counters.messagesSent),
    counter(
      "internal_bytes_sent_total",
      "Bytes of internal messages sent",
      () => transport.counters.bytesSent,
    ),
    counter(
      "internal_bytes_received_total",
      "Bytes of internal messages received",
      () => transport.counters.bytesReceived,
    ),
  ];
  return new ProcessMetrics(definitions);
}

function gauge(name: string, help: string, read: () => number): MetricDefinition {
  return { type: "gauge", name, help, read };
}

function counter(name: string, help: string, read: () => number): MetricDefinition {
  return { type: "counter", name, help, read };
}
