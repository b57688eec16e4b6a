/** Simulates a small fleet with claims only: fake membership, callers and an upstream that counts runs. */
import { createHash } from "node:crypto";
import type { InstanceContext } from "../../context.js";
import type { Roster, Seat } from "../../membership.js";
import type { Random } from "../../ports.js";
import type { ClaimDecision, ClaimGate, RoutedRequest } from "../../stages.js";
import type { PausableClock } from "../../testing/index.js";
import {
    FakeNetwork,
    noopLog,
    noopMetrics,
    seededRandom,
    StaticMembership,
    VirtualClock,
} from "../../testing/index.js";
import type { AttemptId, IdempotencyKey, InstanceId, OrganisationId, SeatId, ZoneId } from "../../types.js";
import { type Claims, startClaims } from "../claims.js";
import { type ClaimOptions, defaultClaimOptions } from "../options.js";

const heartbeatMs = 400;
const currentWindowMs = 3_000;
const leaseMs = 2_000;

/** Membership with the guarantees of the real one: the roster may be old, and `isCurrent` ends when it is too old. */
class LaggingMembership extends StaticMembership {
    freshAtMs = 0;
    readonly #simulation: ClaimsSimulation;

    constructor(
        self: InstanceId,
        simulation: ClaimsSimulation,
        readonly view: ConstructorParameters<typeof StaticMembership>[1],
    ) {
        super(self, view);
        this.#simulation = simulation;
    }

    override isCurrent(): boolean {
        return this.#simulation.clock.monotonicMs() - this.freshAtMs <= currentWindowMs;
    }

    override isGone(instance: InstanceId): boolean {
        return this.#simulation.clock.monotonicMs() >= (this.#simulation.goneAtMs.get(instance) ?? Infinity);
    }
}

/** One simulated instance. */
export interface SimulatedInstance {
    readonly name: InstanceId;
    readonly clock: PausableClock;
    readonly membership: LaggingMembership;
    readonly gate: ClaimGate;
    readonly claims: Claims | undefined;
    readonly context: InstanceContext;
    /** Age of the roster that the next heartbeat delivers. */
    lagMs: number;
    /** Whether the instance reaches neither the platform nor a quorum. */
    isIsolated: boolean;
    isDown: boolean;
}

/** Response to one attempt, and whether the attempt has run. */
export interface AttemptRecord {
    readonly key: string;
    readonly startedAtMs: number;
    kind: ClaimDecision["kind"] | "not-dispatched" | undefined;
    isNotRun: boolean;
    hasRun: boolean;
}

export interface SimulationOptions {
    readonly seats: number;
    readonly zones: number;
    readonly seed: number;
    readonly claims?: Partial<ClaimOptions>;
    /** Largest difference between wall clocks of instances. */
    readonly clockDifferenceMs?: number;
    readonly delayMs?: (random: Random) => number;
    /** Replaces the gate under test with a baseline. */
    readonly baseline?: (context: InstanceContext) => ClaimGate;
}

const organisation = "org-1" as OrganisationId;

/** Runs the instances in virtual time and counts runs by key. */
export class ClaimsSimulation {
    readonly clock = new VirtualClock();
    readonly random: Random;
    readonly network: FakeNetwork;
    readonly instances = new Map<string, SimulatedInstance>();
    readonly goneAtMs = new Map<string, number>();
    readonly runs = new Map<string, number>();
    readonly attempts: AttemptRecord[] = [];
    readonly #options: SimulationOptions;
    readonly #rosters: { readonly atMs: number; readonly roster: Roster; }[] = [];
    #counter = 0;

    constructor(options: SimulationOptions) {
        this.#options = options;
        this.random = seededRandom(options.seed);
        this.network = new FakeNetwork({
            clock: this.clock,
            random: this.random,
            delayMs: () => (options.delayMs ?? (random => 0.5 + random()))(this.random),
        });
        const seats = Array.from({ length: options.seats }, (_, index): Seat => ({
            id: `s${index}` as SeatId,
            epoch: 1,
            holder: `i${index}` as InstanceId,
            zone: `z${index % options.zones}` as ZoneId,
        }));
        this.#rosters.push({ atMs: 0, roster: { version: 1, seats } });
        seats.forEach(seat => this.start(seat.holder!));
    }

    get roster(): Roster {
        return this.#rosters.at(-1)!.roster;
    }

    /** Starts an instance with the newest roster. */
    start(name: string): SimulatedInstance {
        const self = name as InstanceId;
        const { peers, clock } = this.network.join(self);
        const view = { roster: this.roster, excluded: new Set<InstanceId>(), stale: new Set<InstanceId>() };
        const membership = new LaggingMembership(self, this, { ...view, term: 1, termStartedAtMs: 0 });
        membership.freshAtMs = this.clock.monotonicMs();
        const skewMs = (this.random() - 0.5) * (this.#options.clockDifferenceMs ?? 0);
        const context: InstanceContext = {
            clock: {
                now: () => new Date(clock.now().getTime() + skewMs),
                monotonicMs: () => clock.monotonicMs(),
                after: (delayMs, task) => clock.after(delayMs, task),
            },
            random: this.random,
            sha256: data => createHash("sha256").update(data).digest("hex"),
            peers,
            membership,
            config: { current: () => undefined, isWithdrawn: () => false, onChange: () => {} },
            log: noopLog,
            metrics: noopMetrics,
        };
        const claims = this.#options.baseline === undefined
            ? startClaims(context, { ...defaultClaimOptions, ...this.#options.claims })
            : undefined;
        const gate = claims?.gate ?? this.#options.baseline!(context);
        const state = { lagMs: 0, isIsolated: false, isDown: false };
        const instance: SimulatedInstance = { name: self, clock, membership, gate, claims, context, ...state };
        this.instances.set(name, instance);
        this.#heartbeat(instance);
        return instance;
    }

    at(name: string): SimulatedInstance {
        return this.instances.get(name)!;
    }

    /** Publishes a roster with a seat changed. */
    changeSeat(id: string, change: Partial<Seat>): void {
        const { version, seats } = this.roster;
        this.#rosters.push({
            atMs: this.clock.monotonicMs(),
            roster: { version: version + 1, seats: seats.map(seat => seat.id === id ? { ...seat, ...change } : seat) },
        });
    }

    seatOf(name: string): Seat | undefined {
        return this.roster.seats.find(seat => seat.holder === name);
    }

    kill(name: string): void {
        this.network.kill(name);
        this.at(name).isDown = true;
        this.goneAtMs.set(name, this.clock.monotonicMs() + leaseMs);
    }

    pause(name: string): void {
        this.network.pause(name);
        this.goneAtMs.set(name, this.clock.monotonicMs() + leaseMs);
    }

    resume(name: string): void {
        this.network.resume(name);
        if (!this.at(name).isDown) {
            this.goneAtMs.delete(name);
        }
    }

    /** Gives the seat to a new, empty instance, as after an exclusion: the seat is vacated, then assigned. */
    async replace(seatId: string, successor: string, zone?: string): Promise<void> {
        const seat = this.roster.seats.find(candidate => candidate.id === seatId)!;
        this.changeSeat(seatId, { holder: undefined });
        await this.sleep(600);
        this.changeSeat(seatId, {
            holder: successor as InstanceId,
            epoch: seat.epoch + 1,
            zone: (zone ?? seat.zone) as ZoneId,
        });
        if (!this.instances.has(successor)) {
            this.start(successor);
        }
    }

    sleep(durationMs: number): Promise<void> {
        return new Promise(resolve => this.clock.after(durationMs, resolve));
    }

    /** A new key, with the time of a caller whose clock is ahead. */
    key(aheadMs = 0): IdempotencyKey {
        const time = Math.floor(this.clock.now().getTime() + aheadMs).toString(16).padStart(12, "0");
        const counter = (++this.#counter).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${counter}` as IdempotencyKey;
    }

    request(isFirstAttempt: boolean, body = "body"): RoutedRequest {
        const attempt = `a${++this.#counter}`;
        return {
            id: attempt as RoutedRequest["id"],
            attempt: attempt as AttemptId,
            organisation,
            key: "k1" as RoutedRequest["key"],
            route: { id: "r1", idempotent: false } as unknown as RoutedRequest["route"],
            method: "POST",
            target: "/bookings",
            body: new TextEncoder().encode(body),
            bodyHash: createHash("sha256").update(body).digest("hex"),
            deadlineMs: this.clock.monotonicMs() + 10_000,
            isFirstAttempt,
            signal: new AbortController().signal,
        };
    }

    /**
     * Sends one attempt through the steps of the pipeline: claim, wait for a slot, check that the instance is current,
     * dispatch. The caller gets no response if the instance dies.
     */
    async attempt(
        name: string,
        key: IdempotencyKey,
        isFirst = false,
        slotMs = 0,
        body?: string,
    ): Promise<AttemptRecord> {
        const instance = this.at(name);
        const entry: AttemptRecord = {
            key,
            startedAtMs: this.clock.monotonicMs(),
            kind: undefined,
            isNotRun: false,
            hasRun: false,
        };
        this.attempts.push(entry);
        if (instance.isDown) {
            return entry;
        }
        await new Promise<void>(resolve => instance.clock.run(resolve));
        if (!instance.membership.isCurrent()) {
            return Object.assign(entry, { kind: "not-dispatched", isNotRun: isFirst });
        }
        const decision = await instance.gate.begin(this.request(isFirst, body), key);
        if (decision.kind !== "run") {
            const isNotRun = decision.kind === "unavailable" && decision.isCertainlyNotRun;
            return Object.assign(entry, { kind: decision.kind, isNotRun });
        }
        await new Promise<void>(resolve => instance.clock.after(slotMs, resolve));
        if (!instance.membership.isCurrent()) {
            void decision.claim.release();
            return Object.assign(entry, { kind: "not-dispatched", isNotRun: true });
        }
        this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
        entry.hasRun = true;
        await new Promise<void>(resolve => instance.clock.after(5, resolve));
        await decision.claim.complete({ status: 201, headers: [["x-n", "1"]], body: new TextEncoder().encode(key) });
        return Object.assign(entry, { kind: "run" });
    }

    /** Keys that ran more than once. */
    doubleRuns(): number {
        return [...this.runs.values()].filter(count => count > 1).length;
    }

    /** Responses that say "not run" although this or an earlier attempt of the key has run. */
    falseNotRuns(): number {
        return this.attempts.filter(entry =>
            entry.isNotRun
            && this.attempts.some(other =>
                other.key === entry.key && other.hasRun && other.startedAtMs <= entry.startedAtMs
            )
        ).length;
    }

    #heartbeat(instance: SimulatedInstance): void {
        instance.clock.after(heartbeatMs, () => this.#heartbeat(instance));
        const observedAtMs = this.clock.monotonicMs() - instance.lagMs;
        const observed = this.#rosters.findLast(entry => entry.atMs <= observedAtMs);
        if (instance.isIsolated || observed === undefined || observedAtMs <= instance.membership.freshAtMs) {
            return;
        }
        // The reply takes time, so a resumed process finds that it is not current before it is confirmed again.
        instance.clock.after(1, () => {
            instance.membership.freshAtMs = observedAtMs;
            if (observed.roster.version > instance.membership.view.roster.version) {
                instance.membership.view.roster = observed.roster;
                instance.membership.notifyListeners();
            }
        });
    }
}
