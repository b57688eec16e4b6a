import { test } from "uvu";
import * as assert from "uvu/assert";
import type { IdempotencyKey } from "../types.js";
import { holderSeats } from "./holder-seats.js";
import { ClaimsSimulation, type SimulationOptions } from "./testing/claims-simulation.js";

/** New holders vouch for new keys only; by then the fleet of a test is past that. */
const warmUpMs = 15_000;

const world = async (options: Partial<SimulationOptions> = {}): Promise<ClaimsSimulation> => {
    const made = new ClaimsSimulation({ seats: 6, zones: 3, seed: 1, ...options });
    await made.clock.advance(warmUpMs);
    return made;
};

/** Runs to the end of a promise in virtual time. */
const finish = async <T>(made: ClaimsSimulation, work: Promise<T>, limitMs = 2_000): Promise<T> => {
    await made.clock.advance(limitMs);
    return work;
};

const holdersOf = (made: ClaimsSimulation, key: IdempotencyKey) =>
    holderSeats(made.roster, made.request(true).organisation, key).map(seat => ({ seat: seat.id, name: seat.holder! }));

const outsider = (made: ClaimsSimulation, key: IdempotencyKey): string => {
    const held = holdersOf(made, key).map(holder => holder.name);
    return [...made.instances.keys()].find(name => !held.includes(name as never) && !made.at(name).isDown)!;
};

// Guards against a repeat through another instance that runs again or gets another answer.
test("a repeat gets the stored answer", async () => {
    const made = await world();
    const key = made.key();
    assert.is((await finish(made, made.attempt("i0", key, true))).kind, "run");
    for (const name of made.instances.keys()) {
        const decision = await finish(made, made.at(name).gate.begin(made.request(false), key));
        assert.is(decision.kind, "repeat");
        assert.is(decision.kind === "repeat" && new TextDecoder().decode(decision.answer.body), key);
    }
    assert.is((await finish(made, made.attempt("i1", key, false, 0, "other"))).kind, "key-conflict");
    assert.is(made.runs.get(key), 1);
});

// Guards against keys whose claims the holders would already have forgotten or would keep for too long.
test("keys outside the limits are refused with a remedy", async () => {
    const made = await world();
    const shifted = (ms: number) => {
        const time = (made.clock.now().getTime() + ms).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000aaaa` as IdempotencyKey;
    };
    const cases: readonly (readonly [() => string, string, string])[] = [
        [() => "abc", "invalid-key", "send a new lower-case UUIDv7"],
        [() => made.key().replace("-7", "-4"), "invalid-key", "send a new lower-case UUIDv7"],
        [() => shifted(5_001), "invalid-key", "correct the caller's clock"],
        [() => shifted(-15 * 60_000 - 1), "invalid-key", "check the outcome"],
        [() => shifted(5_000), "run", ""],
    ];
    for (const [tried, kind, remedy] of cases) {
        const decision = await finish(made, made.at("i0").gate.begin(made.request(true), tried() as IdempotencyKey));
        assert.is(decision.kind, kind);
        assert.ok(decision.kind !== "invalid-key" || decision.remedy.includes(remedy));
    }
});

// Guards against two instances that both win the same key.
test("of two simultaneous attempts exactly one runs", async () => {
    const made = await world();
    for (let index = 0; index < 200; index++) {
        const key = made.key();
        const [left, right] = await finish(
            made,
            Promise.all([made.attempt("i0", key), made.attempt("i1", key)]),
            1_000,
        );
        const kinds = [left!.kind, right!.kind].sort();
        assert.is(made.runs.get(key), 1);
        assert.ok(kinds[0] === "in-progress" || kinds[0] === "repeat", kinds.join());
    }
});

// Guards against a second run or a false "not run" when holders fail between claim and repeat.
test("faults between claim and repeat", async () => {
    type Fault = (made: ClaimsSimulation, key: IdempotencyKey) => Promise<unknown> | void;
    const holder = (made: ClaimsSimulation, key: IdempotencyKey, index: number) => holdersOf(made, key)[index]!;
    const replace = (index: number, zone?: string): Fault => async (made, key) => {
        const { seat, name } = holder(made, key, index);
        made.kill(name);
        await made.sleep(2_500);
        await made.replace(seat, `new-${seat}`, zone);
    };
    const both = (...faults: Fault[]): Fault => async (made, key) => {
        const names = holdersOf(made, key);
        await Promise.all(faults.map(fault => fault(made, key)));
        return names;
    };
    const cutZones: Fault = made => {
        const inZone = (name: string) => made.seatOf(name)?.zone === "z0";
        const names = [...made.instances.keys()];
        names.forEach(from =>
            names.forEach(to => {
                if (inZone(from) !== inZone(to)) {
                    made.network.dropMessages(from, to);
                }
            })
        );
    };
    const cases: readonly (readonly [string, Fault, number, readonly (string | undefined)[]])[] = [
        ["one holder dead", (made, key) => made.kill(holder(made, key, 0).name), 1, ["repeat"]],
        ["two holders dead", both((m, k) => m.kill(holder(m, k, 0).name), (m, k) => m.kill(holder(m, k, 1).name)), 1, [
            "repeat",
        ]],
        ["all holders dead", (m, k) => holdersOf(m, k).forEach(each => m.kill(each.name)), 1, ["unavailable"]],
        ["one holder replaced", replace(0), 20_000, ["repeat"]],
        ["two holders replaced at once", both(replace(0), replace(1)), 20_000, ["repeat"]],
        ["three holders replaced at once", both(replace(0), replace(1), replace(2)), 20_000, ["unknown"]],
        ["a holder replaced in another zone", replace(0, "z9"), 60_000, ["repeat", "unknown"]],
        ["a zone is cut", cutZones, 1, ["repeat", "unavailable"]],
        ["holders pause", (m, k) => holdersOf(m, k).forEach(each => m.pause(each.name)), 1, ["unavailable"]],
    ];
    for (const [name, fault, waitMs, expected] of cases) {
        const made = await world();
        const key = made.key();
        const owner = outsider(made, key);
        assert.is((await finish(made, made.attempt(owner, key, true))).kind, "run", name);
        await finish(made, Promise.resolve(fault(made, key)), 5_000);
        await made.clock.advance(waitMs);
        for (const at of [...made.instances.keys()].filter(each => !made.at(each).isDown && each !== "")) {
            if (made.goneAtMs.has(at)) {
                continue;
            }
            const repeat = await finish(made, made.attempt(at, key));
            assert.ok(expected.includes(repeat.kind), `${name}: ${repeat.kind} at ${at}`);
            assert.not(repeat.isNotRun, name);
        }
        assert.is(made.runs.get(key), 1, name);
    }
});

// Guards against a new holder that has asked only the holder which never had the record.
test("both recorders of a claim are lost", async () => {
    const made = await world();
    const key = made.key();
    const owner = outsider(made, key);
    const [first, spared, last] = holdersOf(made, key);
    made.network.dropMessages(owner, spared!.name);
    assert.is((await finish(made, made.attempt(owner, key, true))).kind, "run");
    await made.clock.advance(10_000);
    made.kill(first!.name);
    made.kill(last!.name);
    await finish(made, made.sleep(2_500).then(() => made.replace(first!.seat, "new")), 20_000);
    made.network.heal();
    for (const [at, kind] of [[owner, "unavailable"], [spared!.name, "unavailable"]] as const) {
        const repeat = await finish(made, made.attempt(at, key));
        assert.is(repeat.kind, kind);
        assert.not(repeat.isNotRun);
    }
    assert.is(made.runs.get(key), 1);
});

// Guards against a claim that stays open for ever, or runs again, when its owner dies before it has an answer.
test("claims of a dead owner become unknown", async () => {
    const made = await world();
    const key = made.key();
    const owner = outsider(made, key);
    void made.attempt(owner, key, true, 1_000);
    await made.clock.advance(100);
    const other = holdersOf(made, key)[0]!.name;
    assert.is((await finish(made, made.attempt(other, key), 500)).kind, "in-progress");
    made.kill(owner);
    await made.clock.advance(3_000);
    assert.is((await finish(made, made.attempt(other, key))).kind, "unknown");
    assert.is(made.runs.get(key) ?? 0, 0);
});

// Guards against a dispatch after a pause in which the fleet has given the owner up.
test("an owner that pauses after its claim does not dispatch", async () => {
    const made = await world();
    const key = made.key();
    const owner = outsider(made, key);
    const first = made.attempt(owner, key, true, 10);
    await made.clock.advance(5);
    made.pause(owner);
    await made.clock.advance(10_000);
    const repeat = await finish(made, made.attempt(holdersOf(made, key)[0]!.name, key));
    assert.is(repeat.kind, "unknown");
    made.resume(owner);
    const late = await finish(made, first);
    assert.is(late.kind, "not-dispatched");
    assert.is(made.runs.get(key) ?? 0, 0);
});

// Guards against a record that arrives after its release and blocks the key, and against its reuse.
test("a tombstone stops a delayed record", async () => {
    const made = await world();
    const key = made.key();
    const holder = made.at(holdersOf(made, key)[0]!.name).claims!.holder;
    const view = holdersOf(made, key).map(({ seat }) => ({ seat, epoch: 1 }));
    const { organisation, attempt } = made.request(true);
    const owner = holder.completeness.seat!.holder!;
    const body = { organisation, key, attempt, owner, fingerprint: "f", isFirst: false, view };
    holder.release({ organisation, key, attempt });
    assert.equal(holder.record(body), { kind: "refused", reason: "released" });
    assert.equal(holder.record({ ...body, attempt: made.request(true).attempt }), { kind: "recorded" });
    assert.is(holder.record({ ...body, attempt: made.request(true).attempt }).kind, "exists");
});

// Guards against a new fleet, or one that lost holders, that turns away requests which were certainly never sent before.
test("a declared first attempt needs no vouching", async () => {
    const made = await world();
    const key = made.key(-60_000);
    const holder = made.at(holdersOf(made, key)[0]!.name).claims!.holder;
    const view = holdersOf(made, key).map(({ seat }) => ({ seat, epoch: 1 }));
    const fields = { key, owner: holder.completeness.seat!.holder!, fingerprint: "f", view };
    const record = (isFirst: boolean) => {
        const { organisation, attempt } = made.request(isFirst);
        return holder.record({ ...fields, organisation, attempt, isFirst }).kind;
    };
    assert.is(record(false), "unvouched");
    assert.is(record(true), "recorded");
    assert.is(record(true), "exists");
});

// Guards against fleets too small for three holders: they must work, and never run a key twice.
test("fleets of one to three instances", async () => {
    for (const seats of [1, 2, 3]) {
        const made = await world({ seats, zones: 1 });
        const key = made.key();
        assert.is((await finish(made, made.attempt("i0", key, true))).kind, "run");
        assert.is((await finish(made, made.attempt(`i${seats - 1}`, key))).kind, "repeat");
        made.kill("i0");
        const other = made.key();
        await finish(made, made.sleep(2_500).then(() => made.replace("s0", "n0")), 5_000);
        await made.clock.advance(20_000);
        assert.is((await finish(made, made.attempt("n0", key))).kind, seats === 1 ? "unknown" : "repeat");
        const late = await finish(made, made.attempt("n0", other));
        assert.ok(seats === 1 ? late.kind === "unknown" : late.kind === "run", `${seats}: ${late.kind}`);
        assert.is(made.runs.get(key), 1);
    }
});

// Guards against claims that are lost when every instance is replaced gracefully, one after the other.
test("handover keeps claims through a full replacement", async () => {
    for (const hasSuccessor of [true, false]) {
        const made = await world();
        const keys = Array.from({ length: 50 }, () => made.key());
        await finish(made, Promise.all(keys.map(key => made.attempt("i0", key, true))));
        for (let index = 0; index < 6; index++) {
            const name = `n${index}`;
            const { id: seat, epoch } = made.roster.seats[index]!;
            made.start(name);
            const handOver = made.at(`i${index}`).claims!.handOver(hasSuccessor ? made.at(name).name : undefined);
            assert.ok(await finish(made, handOver, 1_000));
            made.changeSeat(seat, { holder: made.at(name).name, epoch: epoch + 1 });
            // With a successor nothing has to be waited for; without one, the new holder synchronises first.
            await made.clock.advance(hasSuccessor ? 500 : 6_000);
            made.kill(`i${index}`);
        }
        for (const key of keys) {
            assert.is((await finish(made, made.attempt("n3", key), 400)).kind, "repeat");
        }
        assert.is(made.doubleRuns(), 0);
    }
});

// Guards against a caller that waits for a dead holder, and against large answers that fill the holders.
test("complete is quick and bounds the answer", async () => {
    const made = await world();
    const key = made.key();
    const decision = await finish(made, made.at(outsider(made, key)).gate.begin(made.request(true), key));
    holdersOf(made, key).slice(0, 2).forEach(each => made.kill(each.name));
    assert.is(decision.kind, "run");
    let isDone = false;
    const body = new Uint8Array(64 * 1024 + 1);
    if (decision.kind === "run") {
        void decision.claim.complete({ status: 200, headers: [], body }).then(() => isDone = true);
    }
    await made.clock.advance(60);
    assert.ok(isDone);
    assert.is((await finish(made, made.attempt(holdersOf(made, key)[2]!.name, key))).kind, "ran-without-answer");
});

test.run();
