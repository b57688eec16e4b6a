/** Tells the instances of the own zone at once which upstreams have requests in flight. */
import type { Clock, InstanceId, Timer } from "@sniperoad/core";
import type { FleetLoad, LoadReport } from "../balance/fleet-load.js";
import type { DatagramPort } from "./ports.js";

/**
 * Least time between reports of an instance, and time for which a relay gathers them. A request takes about 150 ms, so
 * the beats, which take up to 400 ms, would report requests that have ended; a shorter time costs processor time.
 */
export const loadBatchMs = 80;

/** What {@link LoadReporter} needs. */
export interface LoadReporterOptions {
    readonly selfId: InstanceId;
    readonly selfAddress: string;
    readonly clock: Clock;
    readonly datagrams: DatagramPort;
    readonly load: Pick<FleetLoad, "report" | "recordReport">;
    /** Peer address of the first relay of the own zone, which may be this instance; undefined when there is none. */
    readonly relayAddress: () => string | undefined;
    /** Peer addresses of the other instances of the own zone. */
    readonly sameZoneAddresses: () => readonly string[];
}

/**
 * Sends what is in flight after each change, through one relay of the zone: the next change makes up for a report that
 * is lost. Reports between zones come with the beats, since traffic between zones has a price.
 *
 * @example
 * reports.noteChange();
 */
export class LoadReporter {
    readonly #options: LoadReporterOptions;
    /** Last report of each instance that this one passes on. */
    readonly #waiting = new Map<InstanceId, LoadReport>();
    #own: Timer | undefined;
    #relayed: Timer | undefined;
    #isStopped = false;

    constructor(options: LoadReporterOptions) {
        this.#options = options;
    }

    /** Requests of this instance have begun or ended. */
    noteChange(): void {
        if (!this.#isStopped) {
            this.#own ??= this.#options.clock.after(loadBatchMs, () => {
                this.#own = undefined;
                this.#sendOwn();
            });
        }
    }

    /** Takes reports of other instances. */
    receive(reports: readonly LoadReport[], mustForward: boolean): void {
        const { selfId, load } = this.#options;
        reports.filter(({ id }) => id !== selfId).forEach(report => load.recordReport(report));
        if (mustForward) {
            this.#forward(reports);
        }
    }

    stop(): void {
        this.#isStopped = true;
        this.#own?.cancel();
        this.#relayed?.cancel();
    }

    #sendOwn(): void {
        const { selfId, selfAddress, datagrams, load, relayAddress: relay } = this.#options;
        const report = { id: selfId, ...load.report() };
        const address = relay();
        if (address === selfAddress) {
            this.#forward([report]);
        }
        else if (address !== undefined) {
            datagrams.send(address, { kind: "loads", mustForward: true, reports: [report] });
        }
    }

    #forward(reports: readonly LoadReport[]): void {
        if (this.#isStopped) {
            return;
        }
        reports.forEach(report => this.#waiting.set(report.id, report));
        this.#relayed ??= this.#options.clock.after(loadBatchMs, () => {
            this.#relayed = undefined;
            const { datagrams, sameZoneAddresses: near } = this.#options;
            datagrams.sendAll(near(), { kind: "loads", mustForward: false, reports: [...this.#waiting.values()] });
            this.#waiting.clear();
        });
    }
}
