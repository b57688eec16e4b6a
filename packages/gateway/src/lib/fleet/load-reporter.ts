/** Reports in-flight counts to the instances of the own zone sooner than heartbeats do. */
import type { Clock, InstanceId, Timer } from "@sniperoad/core";
import type { FleetLoad, LoadReport } from "../balance/fleet-load.js";
import type { DatagramPort } from "./ports.js";

/**
 * Minimum interval between reports of an instance, and batching delay of a relay. A request takes about 150 ms, so
 * heartbeats, which take up to 400 ms, would report requests that have ended; a shorter interval costs CPU time.
 */
export const loadBatchMs = 80;

/** Options of {@link LoadReporter}. */
export interface LoadReporterOptions {
    readonly selfId: InstanceId;
    readonly selfAddress: string;
    readonly clock: Clock;
    readonly datagrams: DatagramPort;
    readonly load: Pick<FleetLoad, "report" | "recordReport">;
    /** Peer address of the first relay in the own zone, which may be this instance; undefined if there is none. */
    readonly relayAddress: () => string | undefined;
    /** Peer addresses of the other instances in the own zone. */
    readonly sameZoneAddresses: () => readonly string[];
}

/**
 * Sends the in-flight counts after each change through one relay of the zone; the next change makes up for a lost
 * report. Other zones get the counts only in heartbeats, since traffic between zones is billed.
 *
 * @example
 * reporter.scheduleReport();
 */
export class LoadReporter {
    readonly #options: LoadReporterOptions;
    /** Latest report of each instance, to be forwarded with the next batch. */
    readonly #pending = new Map<InstanceId, LoadReport>();
    #ownTimer: Timer | undefined;
    #relayTimer: Timer | undefined;
    #isStopped = false;

    constructor(options: LoadReporterOptions) {
        this.#options = options;
    }

    /** Schedules a report; call it when requests of this instance begin or end. */
    scheduleReport(): void {
        if (!this.#isStopped) {
            this.#ownTimer ??= this.#options.clock.after(loadBatchMs, () => {
                this.#ownTimer = undefined;
                this.#sendOwn();
            });
        }
    }

    /** Processes the reports of other instances. */
    receive(reports: readonly LoadReport[], mustForward: boolean): void {
        const { selfId, load } = this.#options;
        reports.filter(({ id }) => id !== selfId).forEach(report => load.recordReport(report));
        if (mustForward) {
            this.#forward(reports);
        }
    }

    stop(): void {
        this.#isStopped = true;
        this.#ownTimer?.cancel();
        this.#relayTimer?.cancel();
    }

    #sendOwn(): void {
        const { selfId, selfAddress, datagrams, load, relayAddress } = this.#options;
        const report = { id: selfId, ...load.report() };
        const address = relayAddress();
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
        reports.forEach(report => this.#pending.set(report.id, report));
        this.#relayTimer ??= this.#options.clock.after(loadBatchMs, () => {
            this.#relayTimer = undefined;
            const { datagrams, sameZoneAddresses } = this.#options;
            datagrams.sendAll(sameZoneAddresses(), {
                kind: "loads",
                mustForward: false,
                reports: [...this.#pending.values()],
            });
            this.#pending.clear();
        });
    }
}
