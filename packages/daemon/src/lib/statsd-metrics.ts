/** Sends metrics to StatsD with hot-shots. */
import type { MetricsPort } from "@sniperoad/core";
import { StatsD } from "hot-shots";

/** Options of {@link createStatsdMetrics}. */
export interface StatsdOptions {
    readonly host: string;
    readonly port: number;
    readonly instance: string;
    readonly zone: string;
}

/** Discards all metrics, for instances without a StatsD agent. */
export const noMetrics: MetricsPort = { increment: () => {}, timing: () => {}, gauge: () => {} };

/**
 * Sends metrics to a StatsD agent; `close` flushes the buffer.
 *
 * @example
 * const { metrics, close } = createStatsdMetrics({ host: "127.0.0.1", port: 8125, instance: "a-1", zone: "z1" });
 */
export const createStatsdMetrics = (
    options: StatsdOptions,
): { readonly metrics: MetricsPort; readonly close: () => void; } => {
    const client = new StatsD({
        host: options.host,
        port: options.port,
        globalTags: { instance: options.instance, zone: options.zone },
        maxBufferSize: 1_400,
        bufferFlushInterval: 1_000,
        // Requests must not fail because the agent is unavailable.
        errorHandler: () => {},
    });
    return {
        metrics: {
            increment: (name, tags) => void client.increment(name, 1, { ...tags }),
            timing: (name, valueMs, tags) => void client.timing(name, valueMs, { ...tags }),
            gauge: (name, value, tags) => void client.gauge(name, value, { ...tags }),
        },
        close: () => client.close(() => {}),
    };
};
