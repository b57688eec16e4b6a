/** Plays changes of the store beside random faults, and finds instances where a change is late. */
import type { Random } from "@sniperoad/core";
import { seededRandom } from "@sniperoad/core/testing";
import type { SharedCollection } from "../store/state-messages.js";
import { testConfig, testUpstream } from "./fixtures.js";
import { TestFleet } from "./test-fleet.js";
import type { TestInstance } from "./test-fleet.js";

/** Time from the acknowledgement of a change within which undisturbed instances have it in force. */
const applyMs = 2_000;
/** Time added to {@link applyMs} while the store serves only some of the instances. */
const maxStretchMs = 5_000;
/** Time without a disturbance after which an instance, or the store, counts as undisturbed. */
const stableMs = 3_000;
const checkIntervalMs = 50;
/** The fleet finds itself in this time, which has no faults. */
const warmUpMs = 4_000;
const firstVersion = 3;

/** A fault of a {@link ConfigDay}. */
export interface ConfigFault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    /** Share of the instances, or of the datagrams for `loss`. */
    readonly share: number;
    /** Whether it hits instances that read from the store before the others. */
    readonly isAimedAtReaders: boolean;
}

export type FaultKind =
    /** Instances get no answer from the store, but reach each other. */
    | "cut-from-store"
    /** The store turns instances away at once. */
    | "turned-away"
    /** Instances reach neither the store nor each other. */
    | "cut-from-all"
    /** Processes end and start again. */
    | "kill"
    /** Connections that were used become silent; new ones work. */
    | "silent-connections"
    /** Datagrams are lost. */
    | "loss"
    /** The store is down. */
    | "store-down"
    /** Watches hear nothing for a second, then the history is gone. */
    | "compaction";

const faultKinds: readonly FaultKind[] = [
    "cut-from-store",
    "turned-away",
    "cut-from-all",
    "kill",
    "silent-connections",
    "loss",
    "store-down",
    "compaction",
];

/**
 * A day: changes of the configuration, each with one of an upstream, and faults beside them. Times are from the end of the
 * warm-up.
 */
export interface ConfigDay {
    readonly seed: number;
    readonly instances: number;
    readonly zoneCount: number;
    readonly durationMs: number;
    readonly changeAtMs: readonly number[];
    readonly faults: readonly ConfigFault[];
}

/** An instance at which a change was late. */
export interface LateChange {
    readonly collection: SharedCollection;
    readonly instance: string;
    readonly atMs: number;
    readonly heldVersion: number;
    readonly dueVersion: number;
    /** Time since the acknowledgement of the version that is due. */
    readonly ageMs: number;
}

interface Change {
    readonly version: number;
    readonly ackedMs: number;
}

const between = (random: Random, from: number, to: number): number => from + random() * (to - from);

/**
 * Creates a day with one to four faults that overlap, and changes in series or single ones.
 *
 * @example
 * const late = await playConfigDay(randomConfigDay(12));
 */
export const randomConfigDay = (seed: number, kinds: readonly FaultKind[] = faultKinds): ConfigDay => {
    const random = seededRandom(seed * 7_919 + 1);
    const durationMs = 16_000;
    const gapMs = between(random, 300, 3_000);
    const changeAtMs: number[] = [];
    for (let atMs = between(random, 0, gapMs); atMs < durationMs - 2_500; atMs += gapMs * between(random, 0.6, 1.4)) {
        changeAtMs.push(Math.round(atMs));
    }
    const faults = Array.from({ length: 1 + Math.floor(random() * 4) }, (): ConfigFault => ({
        kind: kinds[Math.floor(random() * kinds.length)]!,
        atMs: Math.round(between(random, 200, durationMs - 6_000)),
        forMs: Math.round(between(random, 500, 6_000)),
        share: random() < 0.5 ? between(random, 0.03, 0.2) : between(random, 0.2, 0.7),
        isAimedAtReaders: random() < 0.5,
    }));
    return { seed, instances: 44, zoneCount: 4, durationMs, changeAtMs, faults };
};

/** Plays a day and returns the late changes, at most one for each instance and version. */
export const playConfigDay = async (day: ConfigDay): Promise<readonly LateChange[]> => new ConfigDayPlay(day).run();

class ConfigDayPlay {
    readonly #day: ConfigDay;
    readonly #fleet: TestFleet;
    readonly #random: Random;
    /** Time until which an instance counts as disturbed, by peer address. */
    readonly #disturbedUntilMs = new Map<string, number>();
    /** Time until which the store counts as disturbed, for all instances or with a longer bound. */
    #storeDownUntilMs = -Infinity;
    #storePartialUntilMs = -Infinity;
    readonly #changes: Change[] = [];
    readonly #late = new Map<string, LateChange>();

    constructor(day: ConfigDay) {
        this.#day = day;
        this.#fleet = new TestFleet({ zoneCount: day.zoneCount, seed: day.seed });
        this.#random = seededRandom(day.seed * 31 + 5);
    }

    async run(): Promise<readonly LateChange[]> {
        const { clock, store } = this.#fleet;
        const { instances, durationMs, changeAtMs, faults } = this.#day;
        store.put("config", "main", testConfig({ version: firstVersion }));
        store.put("upstreams", "u1", testUpstream("u1"));
        this.#fleet.add(instances);
        await clock.advance(warmUpMs);
        let version = firstVersion;
        changeAtMs.forEach(atMs =>
            clock.after(atMs, () => {
                version += 1 + Math.floor(this.#random() * 4);
                // A store that is down takes no changes.
                if (!store.isDown) {
                    store.put("config", "main", testConfig({ version }));
                    store.put("upstreams", "u1", testUpstream("u1", { startedMs: version }));
                    this.#changes.push({ version, ackedMs: clock.monotonicMs() });
                }
            })
        );
        faults.forEach(fault => clock.after(fault.atMs, () => this.#begin(fault)));
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += checkIntervalMs) {
            await clock.advance(checkIntervalMs);
            this.#check();
        }
        return [...this.#late.values()];
    }

    #check(): void {
        const nowMs = this.#fleet.clock.monotonicMs();
        if (nowMs < this.#storeDownUntilMs) {
            return;
        }
        const boundMs = applyMs + (nowMs < this.#storePartialUntilMs ? maxStretchMs : 0);
        const due = this.#changes.findLast(({ ackedMs }) => nowMs - ackedMs > boundMs);
        for (const instance of due === undefined ? [] : this.#fleet.instances) {
            if (nowMs >= (this.#disturbedUntilMs.get(instance.self.peerAddress) ?? -Infinity)) {
                this.#checkInstance(instance, due!);
            }
        }
    }

    #checkInstance({ self, config, upstreams }: TestInstance, due: Change): void {
        const nowMs = this.#fleet.clock.monotonicMs();
        const held = { config: config.version, upstreams: upstreams.all()[0]?.startedMs ?? 0 };
        for (const collection of ["config", "upstreams"] as const) {
            const key = `${collection} ${self.peerAddress} ${due.version}`;
            if (held[collection] < due.version && !this.#late.has(key)) {
                this.#late.set(key, {
                    collection,
                    instance: self.id,
                    atMs: Math.round(nowMs - warmUpMs),
                    heldVersion: held[collection],
                    dueVersion: due.version,
                    ageMs: Math.round(nowMs - due.ackedMs),
                });
            }
        }
    }

    #disturb(instances: readonly TestInstance[], forMs: number): void {
        const untilMs = this.#fleet.clock.monotonicMs() + forMs + stableMs;
        for (const { self } of instances) {
            this.#disturbedUntilMs.set(
                self.peerAddress,
                Math.max(untilMs, this.#disturbedUntilMs.get(self.peerAddress) ?? -Infinity),
            );
        }
    }

    #pick({ share, isAimedAtReaders }: ConfigFault): readonly TestInstance[] {
        const all = this.#fleet.instances.map(instance => ({
            instance,
            order: this.#random() + (isAimedAtReaders && instance.state.isReader ? 1 : 0),
        }));
        return all.sort((left, right) => right.order - left.order)
            .slice(0, Math.ceil(share * this.#day.instances))
            .map(({ instance }) => instance);
    }

    #begin(fault: ConfigFault): void {
        const { clock, store, datagrams } = this.#fleet;
        const { kind, forMs, share } = fault;
        const endMs = clock.monotonicMs() + forMs;
        if (kind === "cut-from-store" || kind === "turned-away") {
            this.#partFromStore(this.#pick(fault), fault);
        }
        else if (kind === "cut-from-all") {
            this.#isolate(this.#pick(fault), forMs);
        }
        else if (kind === "kill") {
            const killed = this.#pick(fault);
            this.#fleet.kill(killed);
            this.#disturb(killed, restartMs);
            clock.after(restartMs, () => killed.forEach(instance => this.#fleet.restart(instance)));
        }
        else if (kind === "silent-connections") {
            this.#disturb(this.#fleet.instances, 0);
            this.#fleet.network.silenceConnections();
        }
        else if (kind === "loss") {
            this.#disturb(this.#fleet.instances, forMs);
            datagrams.lossRate = share / 2;
            clock.after(forMs, () => datagrams.lossRate = 0);
        }
        else if (kind === "store-down") {
            this.#storeDownUntilMs = Math.max(this.#storeDownUntilMs, endMs + stableMs);
            store.isDown = true;
            clock.after(forMs, () => store.isDown = false);
        }
        else {
            this.#storePartialUntilMs = Math.max(this.#storePartialUntilMs, clock.monotonicMs() + 1_000 + stableMs);
            store.isMute = true;
            clock.after(1_000, () => {
                store.isMute = false;
                store.compact();
            });
        }
    }

    #partFromStore(instances: readonly TestInstance[], { kind, forMs }: ConfigFault): void {
        const { clock } = this.#fleet;
        const reach = kind === "turned-away"
            ? { store: false, isStoreSilent: false }
            : { store: true, isStoreSilent: true };
        instances.forEach(instance => Object.assign(instance.reach, reach));
        if (kind === "turned-away") {
            this.#storePartialUntilMs = Math.max(this.#storePartialUntilMs, clock.monotonicMs() + forMs + stableMs);
        }
        else {
            this.#disturb(instances, forMs);
        }
        clock.after(forMs, () => {
            instances.forEach(instance => Object.assign(instance.reach, { store: true, isStoreSilent: false }));
        });
    }

    #isolate(instances: readonly TestInstance[], forMs: number): void {
        const { clock, datagrams, network } = this.#fleet;
        this.#disturb(instances, forMs);
        const addresses = new Set(instances.map(({ self }) => self.peerAddress));
        const ids = instances.map(({ self }) => self.id);
        const others = this.#fleet.instances.map(({ self }) => self.id);
        datagrams.mayPass = (from, to) => !addresses.has(from) && !addresses.has(to);
        ids.forEach(id =>
            others.forEach(other => {
                network.dropMessages(id, other);
                network.dropMessages(other, id);
            })
        );
        instances.forEach(({ reach }) => reach.isStoreSilent = true);
        clock.after(forMs, () => {
            datagrams.mayPass = () => true;
            network.heal();
            instances.forEach(({ reach }) => reach.isStoreSilent = false);
        });
    }
}

/** Time from the end of a process to the start of the next one at its address. */
const restartMs = 500;
