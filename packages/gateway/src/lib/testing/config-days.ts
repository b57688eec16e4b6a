/** Plays changes of the store beside random faults, and finds instances where a change is late. */
import type { Random } from "@sniperoad/core";
import { seededRandom } from "@sniperoad/core/testing";
import type { SharedCollection } from "../store/state-messages.js";
import { DayWrites } from "./day-writes.js";
import { between, restoreKinds } from "./random-days.js";
import type { ConfigDay, ConfigFault } from "./random-days.js";
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

/** An instance at which a change was late. */
export interface LateChange {
    readonly collection: SharedCollection;
    /** What the instance held before and does not hold any more; undefined if a change was late. */
    readonly loss?: string;
    readonly instance: string;
    readonly atMs: number;
    readonly heldVersion: number;
    readonly dueVersion: number;
    /** Time since the acknowledgement of the version that is due. */
    readonly ageMs: number;
}

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
    readonly #writes: DayWrites;
    #version = firstVersion;
    readonly #late = new Map<string, LateChange>();

    constructor(day: ConfigDay) {
        this.#day = day;
        this.#fleet = new TestFleet(day);
        this.#random = seededRandom(day.seed * 31 + 5);
        this.#writes = new DayWrites(this.#fleet.clock, this.#fleet.store, this.#random);
    }

    async run(): Promise<readonly LateChange[]> {
        const { clock } = this.#fleet;
        const { instances, durationMs, changeAtMs, faults, zoneEvacuationMs } = this.#day;
        this.#writes.change(this.#version);
        this.#fleet.add(instances);
        if (zoneEvacuationMs !== undefined) {
            this.#planEvacuation();
        }
        await clock.advance(warmUpMs);
        changeAtMs.forEach(atMs => clock.after(atMs, () => this.#change()));
        faults.forEach(fault => clock.after(fault.atMs, () => this.#begin(fault)));
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += checkIntervalMs) {
            await clock.advance(checkIntervalMs);
            this.#check();
        }
        return [...this.#late.values()];
    }

    #change(): void {
        this.#version += 1 + Math.floor(this.#random() * 4);
        this.#writes.change(this.#version);
    }

    /** Lets an upstream leave, and evacuates a zone for a while, at random times around the first fault. */
    #planEvacuation(): void {
        const { clock } = this.#fleet;
        const firstMs = warmUpMs + this.#day.faults.at(-1)!.atMs;
        const at = (fromMs: number, toMs: number, task: () => void) =>
            clock.after(firstMs + between(this.#random, fromMs, toMs), task);
        this.#writes.setSecondUpstream("live");
        at(-5_000, 1_000, () => this.#writes.setSecondUpstream("leaving"));
        at(1_000, 4_000, () => this.#writes.setSecondUpstream("removed"));
        at(-6_000, 500, () => this.#writes.setEvacuation(true));
        at(2_000, 9_000, () => this.#writes.setEvacuation(false));
    }

    /** Records what instances hold, and have lost. */
    #checkLosses(): void {
        const nowMs = this.#fleet.clock.monotonicMs();
        for (const instance of this.#fleet.instances) {
            const loss = this.#writes.findLoss(instance, this.#isDisturbed(instance));
            if (loss !== undefined) {
                this.#late.set(`${loss} ${instance.self.id}`, {
                    collection: "upstreams",
                    loss,
                    instance: instance.self.id,
                    atMs: Math.round(nowMs - warmUpMs),
                    heldVersion: instance.config.version,
                    dueVersion: this.#version,
                    ageMs: 0,
                });
            }
        }
    }

    #isDisturbed({ self }: TestInstance): boolean {
        return this.#fleet.clock.monotonicMs() < (this.#disturbedUntilMs.get(self.peerAddress) ?? -Infinity);
    }

    #check(): void {
        this.#checkLosses();
        const nowMs = this.#fleet.clock.monotonicMs();
        if (nowMs < this.#storeDownUntilMs) {
            return;
        }
        const boundMs = applyMs + (nowMs < this.#storePartialUntilMs ? maxStretchMs : 0);
        for (const instance of this.#fleet.instances) {
            if (!this.#isDisturbed(instance)) {
                this.#checkInstance(instance, boundMs);
            }
        }
    }

    #checkInstance({ self, config, upstreams, evacuations }: TestInstance, boundMs: number): void {
        const nowMs = this.#fleet.clock.monotonicMs();
        const firstUpstream = upstreams.all().find(({ id }) => id === "u1");
        const held = { config: config.version, upstreams: firstUpstream?.startedMs ?? 0 };
        const { evacuatedMs = Infinity, changes } = this.#writes;
        const ageMs = nowMs - evacuatedMs;
        if (evacuations !== undefined && ageMs > evacuations.boundMs + boundMs - applyMs && evacuations.size === 0) {
            this.#late.set(`evacuations ${self.id}`, {
                collection: "evacuations",
                instance: self.id,
                atMs: Math.round(nowMs - warmUpMs),
                heldVersion: 0,
                dueVersion: 1,
                ageMs,
            });
        }
        for (const collection of ["config", "upstreams"] as const) {
            const due = changes[collection].findLast(({ ackedMs }) => nowMs - ackedMs > boundMs);
            if (due === undefined) {
                continue;
            }
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
        else if (restoreKinds.includes(kind)) {
            this.#restore(fault);
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

    #restore(fault: ConfigFault, isSecond = false): void {
        const { kind, forMs } = fault;
        const { clock, store } = this.#fleet;
        if (kind === "restore-after-change") {
            this.#change();
        }
        const startMs = clock.monotonicMs();
        const copyAtMs = Math.max(0, startMs - between(this.#random, 5, 8_000));
        store.answerDelayMs = () => this.#random() < 0.3 ? between(this.#random, 100, 1_100) : 0;
        clock.after(lateAnswersMs, () => {
            store.answerDelayMs = () => 0;
            store.isDown = true;
        });
        this.#storeDownUntilMs = Math.max(this.#storeDownUntilMs, startMs + lateAnswersMs + forMs + stableMs);
        clock.after(lateAnswersMs + forMs, () => {
            store.isDown = false;
            this.#writes.restore(copyAtMs);
            if (kind === "restore-twice" && !isSecond) {
                clock.after(between(this.#random, 1, 2_500), () => this.#restore({ ...fault, forMs: forMs / 2 }, true));
            }
        });
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

/** Time before a restore in which answers are delayed. */
const lateAnswersMs = 100;
/** Time from the end of a process to the start of the next one at its address. */
const restartMs = 500;
