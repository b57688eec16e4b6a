/** Reads versions from the platform and updates the roster there. */
import type {
    Clock,
    InstanceListing,
    InstanceListPort,
    LogPort,
    MetricsPort,
    PlatformObject,
    PlatformPort,
    Random,
    Timer,
} from "../ports.js";
import type { InstanceId, ZoneId } from "../types.js";
import type { FleetRoster, FleetSeat } from "./seats.js";
import {
    assignSeat,
    createVacantSeats,
    epochsPerVersion,
    isHandoverOf,
    recordHandover,
    rosterValueSchema,
    seatIndexOf,
    vacateSeat,
} from "./seats.js";
import type { MembershipSettings } from "./settings.js";

/** Name of the platform object that holds the roster. */
export const rosterObject = "roster";

/** The interface of the membership to its {@link PlatformSync}. */
export interface SyncHost {
    readonly self: InstanceId;
    readonly zone: ZoneId;
    roster(): FleetRoster | undefined;
    accept(roster: FleetRoster): void;
    /** Reads the configuration from the platform and accepts it; rejects if the platform cannot be reached. */
    refreshConfiguration(): Promise<void>;
    /** Called when roster and configuration were read by reads that started at `startedMs`. */
    confirm(startedMs: number): void;
    /** Time of the newest confirmation by this instance or a peer. */
    confirmedMs(): number;
    /** Rank among the instances that poll the platform regularly; undefined for all others. */
    pollerRank(): number | undefined;
    isAssignable(index: number): boolean;
    /**
     * Whether this instance has two-way contact with at least half of the holders that may act. Without this contact, a
     * seat that it takes would be excluded and vacated, repeatedly.
     */
    isConnected(): boolean;
    /** Seats that may be vacated because their holder is dead or has been excluded for long enough. */
    vacatable(): readonly number[];
    updateListing(listing: InstanceListing): void;
    isLeaving(): boolean;
}

/** Ports of {@link PlatformSync}. */
export interface SyncPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly platform: PlatformPort;
    readonly instanceList: InstanceListPort;
    readonly log: LogPort;
    readonly metrics: MetricsPort;
    /** Number of seats of a new roster; see `MembershipOptions`. */
    readonly seats?: () => number | undefined;
}

/** Minimum delay between two checks whether a poll or a list read is due. */
const minStepMs = 60;
/** Maximum random addition to {@link minStepMs}. */
const stepJitterMs = 120;
/** Maximum random delay before the next change after a conflicting write. */
const maxConflictDelayMs = 600;
const maxVacateAttempts = 5;

/**
 * Polls the platform and changes the roster. One poll starts the reads of `config` and `roster` together. Neither
 * object contains the other's version, so each read confirms only its own. The confirmation is made when both have
 * succeeded, and its time is their start.
 */
export class PlatformSync {
    readonly #host: SyncHost;
    readonly #ports: SyncPorts;
    readonly #settings: MembershipSettings;
    #timer: Timer | undefined;
    #isRunning = false;
    #isPolling = false;
    #isListing = false;
    #hasList = false;
    #isReachable: boolean | undefined;
    /** Start of the last poll. */
    #polledMs = -Infinity;
    /** Time from the last poll to the next one, unless a change is due earlier. */
    #pollWaitMs = 0;
    /** Start of the last list read. */
    #listedMs = -Infinity;
    /** Earliest time of the next roster change. */
    #nextChangeMs = 0;
    /** Epoch of this instance's seat as recorded on the platform. */
    #recordedEpoch = 0;

    constructor(host: SyncHost, ports: SyncPorts, settings: MembershipSettings) {
        this.#host = host;
        this.#ports = ports;
        this.#settings = settings;
    }

    start(): void {
        this.#isRunning = true;
        this.#nextChangeMs = this.#nowMs() + this.#ports.random() * this.#settings.joinJitterMs;
        this.#step();
    }

    stop(): void {
        this.#isRunning = false;
        this.#timer?.cancel();
    }

    /** Whether the platform responds to a read. */
    isPlatformReachable(): Promise<boolean> {
        return this.#ports.platform.get(rosterObject).then(() => true, () => false);
    }

    /** Vacates this instance's seat. Returns whether the platform is known to record it as vacant or reassigned. */
    async vacateOwn(): Promise<boolean> {
        for (let attempt = 0; attempt < maxVacateAttempts; attempt++) {
            try {
                const roster = parseRoster(await this.#ports.platform.get(rosterObject));
                const held = this.#host.roster()?.seats[seatIndexOf(this.#host.roster(), this.#host.self) ?? -1];
                const index = roster?.seats.findIndex(seat => seat.id === held?.id) ?? -1;
                const seat = roster?.seats[index];
                if (roster === undefined || seat === undefined || held === undefined) {
                    return true;
                }
                if (seat.epoch !== held.epoch && !isHandoverOf(held, seat)) {
                    return true;
                }
                if (await this.#putRoster(roster, vacateSeat(roster, index, held), "leave", index)) {
                    return true;
                }
                await this.#pause(this.#ports.random() * maxConflictDelayMs / 2);
            }
            catch {
                this.#ports.log.event("membership.vacate_failed", { attempt, remedy: "peers exclude the seat" });
                return false;
            }
        }
        return false;
    }

    #step(): void {
        if (!this.#isRunning) {
            return;
        }
        const nowMs = this.#nowMs();
        if (!this.#isPolling && this.#isPollDue(nowMs)) {
            this.#isPolling = true;
            this.#polledMs = nowMs;
            this.#pollWaitMs = this.#settings.pollIntervalMs * (0.8 + 0.4 * this.#ports.random());
            void this.#poll().finally(() => this.#isPolling = false);
        }
        if (!this.#isListing && this.#isListDue(nowMs)) {
            this.#isListing = true;
            this.#listedMs = nowMs;
            void this.#readList().finally(() => this.#isListing = false);
        }
        // Jitter keeps instances that started together from reading and writing at the same time.
        const delayMs = minStepMs + this.#ports.random() * stepJitterMs;
        this.#timer = this.#ports.clock.after(delayMs, () => this.#step());
    }

    #isPollDue(nowMs: number): boolean {
        const roster = this.#host.roster();
        const isWaiting = nowMs - this.#polledMs < this.#pollWaitMs;
        if (isWaiting && this.#isReachable === false) {
            return false;
        }
        if (nowMs >= this.#nextChangeMs && this.#isChangeDue(roster)) {
            return true;
        }
        if (isWaiting) {
            return false;
        }
        const isConfirmationMissing = nowMs - this.#host.confirmedMs() > this.#settings.currentWindowMs / 2;
        return roster === undefined || isConfirmationMissing || this.#host.pollerRank() !== undefined;
    }

    #isListDue(nowMs: number): boolean {
        // Until the first response, an instance may have no peers, so it uses the shorter poll interval.
        const intervalMs = this.#hasList ? this.#settings.listIntervalMs : this.#settings.pollIntervalMs;
        return nowMs - this.#listedMs >= intervalMs && (!this.#hasList || this.#host.pollerRank() !== undefined);
    }

    #isChangeDue(roster: FleetRoster | undefined): boolean {
        if (roster === undefined || this.#host.isLeaving()) {
            return false;
        }
        const ownIndex = seatIndexOf(roster, this.#host.self);
        const ownEpoch = ownIndex === undefined ? 0 : roster.seats[ownIndex]!.epoch;
        if (ownEpoch % epochsPerVersion !== 0 && ownEpoch !== this.#recordedEpoch) {
            return true;
        }
        if (
            ownIndex === undefined && this.#host.isConnected()
            && roster.seats.some((_, index) => this.#host.isAssignable(index))
        ) {
            return true;
        }
        // Only the first poller: updates by the others would conflict with its update.
        return this.#host.pollerRank() === 0 && this.#host.vacatable().length > 0;
    }

    async #poll(): Promise<void> {
        const startedMs = this.#nowMs();
        try {
            const [object] = await Promise.all([
                this.#ports.platform.get(rosterObject),
                this.#host.refreshConfiguration(),
            ]);
            const roster = parseRoster(object);
            if (roster !== undefined) {
                this.#host.accept(roster);
            }
            if (roster !== undefined && roster.version === this.#host.roster()?.version) {
                this.#host.confirm(startedMs);
            }
            this.#setReachable(true);
            await this.#changeRoster(roster, object?.version ?? 0);
        }
        catch (error) {
            this.#setReachable(false, error);
        }
    }

    async #readList(): Promise<void> {
        try {
            this.#host.updateListing(await this.#ports.instanceList.list());
            this.#hasList = true;
        }
        catch {
            this.#ports.metrics.increment("sniperoad.membership.list_failed");
        }
    }

    /** Makes at most one change, based on the version that was just read. */
    async #changeRoster(roster: FleetRoster | undefined, version: number): Promise<void> {
        const nowMs = this.#nowMs();
        if (!this.#isRunning || nowMs < this.#nextChangeMs || this.#host.isLeaving()) {
            return;
        }
        if (roster === undefined) {
            await this.#createRoster(version);
            return;
        }
        const held = this.#host.roster()!.seats;
        const ownIndex = seatIndexOf(this.#host.roster(), this.#host.self);
        this.#recordedEpoch = ownIndex === undefined ? 0 : roster.seats[ownIndex]!.epoch;
        if (ownIndex !== undefined && isHandoverOf(held[ownIndex]!, roster.seats[ownIndex]!)) {
            await this.#putRoster(roster, recordHandover(roster, ownIndex, held[ownIndex]!), "record", ownIndex);
            return;
        }
        const vacantIndex = ownIndex === undefined && this.#host.isConnected()
            ? this.#chooseVacantSeat(roster.seats)
            : undefined;
        if (vacantIndex !== undefined) {
            await this.#putRoster(
                roster,
                assignSeat(roster, vacantIndex, this.#host.self, this.#host.zone),
                "assign",
                vacantIndex,
            );
            return;
        }
        const vacatableIndex = this.#host.pollerRank() === undefined ? undefined : this.#host.vacatable()[0];
        if (vacatableIndex !== undefined) {
            await this.#putRoster(
                roster,
                vacateSeat(roster, vacatableIndex, held[vacatableIndex]!),
                "vacate",
                vacatableIndex,
            );
        }
    }

    async #createRoster(version: number): Promise<void> {
        const seats = this.#ports.seats === undefined ? this.#settings.seats : this.#ports.seats();
        if (version === 0 && seats !== undefined) {
            await this.#putRoster({ version: 0, seats: [] }, createVacantSeats(seats), "create", -1);
        }
    }

    /** Chooses a vacant seat, preferably of this zone, so that the zones of replicated state do not change. */
    #chooseVacantSeat(seats: readonly FleetSeat[]): number | undefined {
        const vacant = seats.flatMap((seat, index) =>
            seat.holder === undefined && this.#host.isAssignable(index) ? [index] : []
        );
        return vacant.find(index => seats[index]!.zone === this.#host.zone)
            ?? vacant.find(index => seats[index]!.epoch === 0)
            ?? vacant[0];
    }

    async #putRoster(
        roster: FleetRoster,
        seats: readonly FleetSeat[],
        change: string,
        index: number,
    ): Promise<boolean> {
        const { random, platform, log, metrics } = this.#ports;
        this.#nextChangeMs = this.#nowMs() + this.#settings.minChangeIntervalMs;
        const result = await platform.put(rosterObject, { seats }, roster.version);
        log.event("membership.roster_change", {
            change,
            seat: seats[index]?.id,
            result: result.kind,
            version: result.version,
        });
        metrics.increment("sniperoad.membership.roster_change", { change, result: result.kind });
        if (result.kind === "stored") {
            this.#host.accept({ version: result.version, seats });
            return true;
        }
        this.#nextChangeMs = this.#nowMs() + random() * maxConflictDelayMs;
        return false;
    }

    #setReachable(isReachable: boolean, error?: unknown): void {
        if (this.#isReachable !== isReachable) {
            this.#isReachable = isReachable;
            this.#ports.log.event("membership.platform", {
                isReachable,
                reason: error instanceof Error ? error.message : undefined,
            });
        }
    }

    #pause(delayMs: number): Promise<void> {
        return new Promise(resolve => this.#ports.clock.after(delayMs, resolve));
    }

    #nowMs(): number {
        return this.#ports.clock.monotonicMs();
    }
}

/** Parses the roster object; undefined if there is no object. Throws if the value is malformed. */
const parseRoster = (object: PlatformObject | undefined): FleetRoster | undefined =>
    object === undefined
        ? undefined
        : { version: object.version, seats: rosterValueSchema.parse(object.value).seats };
