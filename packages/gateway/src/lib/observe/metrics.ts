/** Prometheus metrics of an instance. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets in seconds, around the target latencies of 0.25 to 0.8 s. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 4];

/** Sources of the gauges, read each time the metrics are served. */
export interface GaugeSources {
    readonly configVersion: () => number;
    /** Seconds for which a newer configuration has been known than the one in force. */
    readonly configBehindSeconds: () => number;
    readonly upstreams: () => number;
    readonly evacuatedZones: () => number;
    /** Upstreams that get few requests since they warm up. */
    readonly coldUpstreams: () => number;
    readonly instancesHeard: () => number;
    readonly isReady: () => boolean;
    readonly inFlight: () => number;
    readonly droppedLogLines: () => number;
    readonly openedConnections: () => number;
    readonly sentDatagramBytes: () => number;
    /** See `ServicePressures.highestLevel`. */
    readonly admissionLevel: () => number;
}

/**
 * The metrics of one instance. docs/metrics.md explains the names.
 *
 * @example
 * const metrics = new GatewayMetrics(sources);
 * metrics.request("r-1", 200, 12);
 * await metrics.text();
 */
export class GatewayMetrics {
    readonly #registry = new Registry();
    /** The text that is being collected. */
    #text: Promise<string> | undefined;
    readonly #requests = new Counter({
        name: "sniperoad_requests_total",
        help: "Requests of callers by route and status",
        labelNames: ["route", "status"],
        registers: [this.#registry],
    });
    readonly #latency = new Histogram({
        name: "sniperoad_request_seconds",
        help: "Time from a request's header to its answer",
        labelNames: ["route"],
        buckets: latencyBuckets,
        registers: [this.#registry],
    });
    readonly #hedges = new Counter({
        name: "sniperoad_hedged_requests_total",
        help: "Requests that were also sent to a second upstream, and those that it answered first",
        labelNames: ["result"],
        registers: [this.#registry],
    });
    readonly #hedgesDenied = new Counter({
        name: "sniperoad_hedges_denied_total",
        help: "Slow requests that were not sent to a second upstream, by reason",
        labelNames: ["reason"],
        registers: [this.#registry],
    });
    readonly #storeCalls = new Counter({
        name: "sniperoad_store_calls_total",
        help: "Calls to the object store by kind and result",
        labelNames: ["call", "result"],
        registers: [this.#registry],
    });
    readonly #rejections = new Counter({
        name: "sniperoad_admission_rejections_total",
        help: "Requests that admission rejected by rank and cause",
        labelNames: ["rank", "cause"],
        registers: [this.#registry],
    });

    readonly #callerRejections = new Counter({
        name: "sniperoad_caller_rejections_total",
        help: "Callers rejected for what they take, by reason",
        labelNames: ["reason"],
        registers: [this.#registry],
    });

    constructor(sources: GaugeSources) {
        this.#gauge("sniperoad_config_version", "Version of the configuration in force", sources.configVersion);
        this.#gauge(
            "sniperoad_config_behind_seconds",
            "Time for which a newer configuration has been known than the one in force",
            sources.configBehindSeconds,
        );
        this.#gauge("sniperoad_upstreams", "Upstreams listed", sources.upstreams);
        this.#gauge("sniperoad_evacuated_zones", "Zones whose upstreams get no requests", sources.evacuatedZones);
        this.#gauge("sniperoad_upstreams_cold", "Upstreams that warm up", sources.coldUpstreams);
        this.#gauge("sniperoad_instances_heard", "Other instances heard", sources.instancesHeard);
        this.#gauge("sniperoad_ready", "1 if callers are taken", () => sources.isReady() ? 1 : 0);
        this.#gauge("sniperoad_in_flight", "Requests at upstreams", sources.inFlight);
        this.#gauge("sniperoad_log_lines_dropped", "Log lines lost to a slow reader", sources.droppedLogLines);
        this.#gauge("sniperoad_upstream_connections_opened", "Connections to upstreams", sources.openedConnections);
        this.#gauge("sniperoad_datagram_bytes_sent", "Bytes sent to other instances", sources.sentDatagramBytes);
        this.#gauge("sniperoad_admission_level", "Highest pressure on a service", sources.admissionLevel);
    }

    /** Records a completed request; `route` is undefined if no route matched. */
    request(route: string | undefined, status: number, tookMs: number): void {
        const label = route ?? "none";
        this.#requests.inc({ route: label, status: String(status) });
        this.#latency.observe({ route: label }, tookMs / 1_000);
    }

    recordStoreCall(call: string, result: string): void {
        this.#storeCalls.inc({ call, result });
    }

    recordHedge(result: string): void {
        this.#hedges.inc({ result });
    }

    recordHedgeDenied(reason: string): void {
        this.#hedgesDenied.inc({ reason });
    }

    /** Records a rejection by admission; see `RejectionCause`. */
    recordRejection(rank: number, cause: string): void {
        this.#rejections.inc({ rank: String(rank), cause });
    }

    recordCallerRejection(reason: string): void {
        this.#callerRejections.inc({ reason });
    }

    /** Returns all metrics in the Prometheus text format. Calls in the same turn of the event loop share one text. */
    text(): Promise<string> {
        this.#text ??= this.#registry.metrics().finally(() => {
            this.#text = undefined;
        });
        return this.#text;
    }

    #gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.#registry],
            collect() {
                this.set(read());
            },
        });
    }
}
