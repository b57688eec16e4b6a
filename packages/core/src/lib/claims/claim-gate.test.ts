import { test } from "uvu";
import * as assert from "uvu/assert";
import type { IdempotencyKey } from "../types.js";
import { holderSeats } from "./holder-seats.js";
import { ClaimsSimulation, type SimulationOptions } from "./testing/claims-simulation.js";

/** The records of a new holder are complete for new keys only after its first seconds. */
const warmUpMs = 15_000;

const startSimulation = async (options: Partial<SimulationOptions> = {}): Promise<ClaimsSimulation> => {
    const simulation = new ClaimsSimulation({ seats: 6, zones: 3, seed: 1, ...options });
    await simulation.clock.advance(warmUpMs);
    return simulation;
};

/** Advances virtual time until the promise has settled. */
const runToCompletion = async <T>(simulation: ClaimsSimulation, work: Promise<T>, limitMs = 2_000): Promise<T> => {
    await simulation.clock.advance(limitMs);
    return work;
};

const holdersOf = (simulation: ClaimsSimulation, key: IdempotencyKey) =>
    holderSeats(simulation.roster, simulation.request(true).organisation, key).map(seat => ({
        seat: seat.id,
        name: seat.holder!,
    }));

const findNonHolder = (simulation: ClaimsSimulation, key: IdempotencyKey): string => {
    const held = holdersOf(simulation, key).map(holder => holder.name);
    return [...simulation.instances.keys()].find(name => !held.includes(name as never) && !simulation.at(name).isDown)!;
};

// Guards against a retry through another instance that runs again or gets another response.
test("a retry gets the stored response", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    assert.is((await runToCompletion(simulation, simulation.attempt("i0", key, true))).kind, "run");
    for (const name of simulation.instances.keys()) {
        const decision = await runToCompletion(
            simulation,
            simulation.at(name).gate.begin(simulation.request(false), key),
        );
        assert.is(decision.kind, "repeat");
        assert.is(decision.kind === "repeat" && new TextDecoder().decode(decision.answer.body), key);
    }
    assert.is(
        (await runToCompletion(simulation, simulation.attempt("i1", key, false, 0, "other"))).kind,
        "key-conflict",
    );
    assert.is(simulation.runs.get(key), 1);
});

// Guards against keys whose claims the holders have already removed, or would store for too long.
test("keys outside the limits are refused with a remedy", async () => {
    const simulation = await startSimulation();
    const shifted = (ms: number) => {
        const time = (simulation.clock.now().getTime() + ms).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000aaaa` as IdempotencyKey;
    };
    const cases: readonly (readonly [() => string, string, string])[] = [
        [() => "abc", "invalid-key", "send a new lower-case UUIDv7"],
        [() => simulation.key().replace("-7", "-4"), "invalid-key", "send a new lower-case UUIDv7"],
        [() => shifted(5_001), "invalid-key", "correct the caller's clock"],
        [() => shifted(-15 * 60_000 - 1), "invalid-key", "check the outcome"],
        [() => shifted(5_000), "run", ""],
    ];
    for (const [createKey, kind, remedy] of cases) {
        const decision = await runToCompletion(
            simulation,
            simulation.at("i0").gate.begin(simulation.request(true), createKey() as IdempotencyKey),
        );
        assert.is(decision.kind, kind);
        assert.ok(decision.kind !== "invalid-key" || decision.remedy.includes(remedy));
    }
});

// Guards against two instances that both win the same key.
test("of two simultaneous attempts exactly one runs", async () => {
    const simulation = await startSimulation();
    for (let index = 0; index < 200; index++) {
        const key = simulation.key();
        const [left, right] = await runToCompletion(
            simulation,
            Promise.all([simulation.attempt("i0", key), simulation.attempt("i1", key)]),
            1_000,
        );
        const kinds = [left!.kind, right!.kind].sort();
        assert.is(simulation.runs.get(key), 1);
        assert.ok(kinds[0] === "in-progress" || kinds[0] === "repeat", kinds.join());
    }
});

// Guards against a second run or a false "not run" when holders fail between a claim and its retry.
test("faults between a claim and its retry", async () => {
    type Fault = (simulation: ClaimsSimulation, key: IdempotencyKey) => Promise<unknown> | void;
    const holder = (simulation: ClaimsSimulation, key: IdempotencyKey, index: number) =>
        holdersOf(simulation, key)[index]!;
    const replace = (index: number, zone?: string): Fault => async (simulation, key) => {
        const { seat, name } = holder(simulation, key, index);
        simulation.kill(name);
        await simulation.sleep(2_500);
        await simulation.replace(seat, `new-${seat}`, zone);
    };
    const both = (...faults: Fault[]): Fault => async (simulation, key) => {
        const names = holdersOf(simulation, key);
        await Promise.all(faults.map(fault => fault(simulation, key)));
        return names;
    };
    const cutZones: Fault = simulation => {
        const inZone = (name: string) => simulation.seatOf(name)?.zone === "z0";
        const names = [...simulation.instances.keys()];
        names.forEach(from =>
            names.forEach(to => {
                if (inZone(from) !== inZone(to)) {
                    simulation.network.dropMessages(from, to);
                }
            })
        );
    };
    const cases: readonly (readonly [string, Fault, number, readonly (string | undefined)[]])[] = [
        ["one holder dead", (simulation, key) => simulation.kill(holder(simulation, key, 0).name), 1, ["repeat"]],
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
        const simulation = await startSimulation();
        const key = simulation.key();
        const owner = findNonHolder(simulation, key);
        assert.is((await runToCompletion(simulation, simulation.attempt(owner, key, true))).kind, "run", name);
        await runToCompletion(simulation, Promise.resolve(fault(simulation, key)), 5_000);
        await simulation.clock.advance(waitMs);
        for (const at of [...simulation.instances.keys()].filter(each => !simulation.at(each).isDown && each !== "")) {
            if (simulation.goneAtMs.has(at)) {
                continue;
            }
            const retry = await runToCompletion(simulation, simulation.attempt(at, key));
            assert.ok(expected.includes(retry.kind), `${name}: ${retry.kind} at ${at}`);
            assert.not(retry.isNotRun, name);
        }
        assert.is(simulation.runs.get(key), 1, name);
    }
});

// Guards against a new holder that relies on a pull from the one holder that never had the record.
test("both holders that recorded a claim are lost", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    const owner = findNonHolder(simulation, key);
    const [first, spared, last] = holdersOf(simulation, key);
    simulation.network.dropMessages(owner, spared!.name);
    assert.is((await runToCompletion(simulation, simulation.attempt(owner, key, true))).kind, "run");
    await simulation.clock.advance(10_000);
    simulation.kill(first!.name);
    simulation.kill(last!.name);
    await runToCompletion(
        simulation,
        simulation.sleep(2_500).then(() => simulation.replace(first!.seat, "new")),
        20_000,
    );
    simulation.network.heal();
    for (const [at, kind] of [[owner, "unavailable"], [spared!.name, "unavailable"]] as const) {
        const retry = await runToCompletion(simulation, simulation.attempt(at, key));
        assert.is(retry.kind, kind);
        assert.not(retry.isNotRun);
    }
    assert.is(simulation.runs.get(key), 1);
});

// Guards against a claim that stays in progress forever, or runs again, when its owner dies without a response.
test("claims of a dead owner become unknown", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    const owner = findNonHolder(simulation, key);
    void simulation.attempt(owner, key, true, 1_000);
    await simulation.clock.advance(100);
    const other = holdersOf(simulation, key)[0]!.name;
    assert.is((await runToCompletion(simulation, simulation.attempt(other, key), 500)).kind, "in-progress");
    simulation.kill(owner);
    await simulation.clock.advance(3_000);
    assert.is((await runToCompletion(simulation, simulation.attempt(other, key))).kind, "unknown");
    assert.is(simulation.runs.get(key) ?? 0, 0);
});

// Guards against a dispatch after a pause during which the fleet declared the owner gone.
test("an owner that pauses after its claim does not dispatch", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    const owner = findNonHolder(simulation, key);
    const first = simulation.attempt(owner, key, true, 10);
    await simulation.clock.advance(5);
    simulation.pause(owner);
    await simulation.clock.advance(10_000);
    const retry = await runToCompletion(simulation, simulation.attempt(holdersOf(simulation, key)[0]!.name, key));
    assert.is(retry.kind, "unknown");
    simulation.resume(owner);
    const late = await runToCompletion(simulation, first);
    assert.is(late.kind, "not-dispatched");
    assert.is(simulation.runs.get(key) ?? 0, 0);
});

// Guards against a record that arrives after its release and claims the key again.
test("a tombstone stops a delayed record", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    const holder = simulation.at(holdersOf(simulation, key)[0]!.name).claims!.holder;
    const view = holdersOf(simulation, key).map(({ seat }) => ({ seat, epoch: 1 }));
    const { organisation, attempt } = simulation.request(true);
    const owner = holder.completeness.seat!.holder!;
    const body = { organisation, key, attempt, owner, fingerprint: "f", isFirst: false, view };
    holder.release({ organisation, key, attempt });
    assert.equal(holder.record(body), { kind: "refused", reason: "released" });
    assert.equal(holder.record({ ...body, attempt: simulation.request(true).attempt }), { kind: "recorded" });
    assert.is(holder.record({ ...body, attempt: simulation.request(true).attempt }).kind, "exists");
});

// Guards against a new fleet, or one that has lost holders, refusing requests that were declared as never sent before.
test("a declared first attempt needs no complete records", async () => {
    const simulation = await startSimulation();
    const key = simulation.key(-60_000);
    const holder = simulation.at(holdersOf(simulation, key)[0]!.name).claims!.holder;
    const view = holdersOf(simulation, key).map(({ seat }) => ({ seat, epoch: 1 }));
    const fields = { key, owner: holder.completeness.seat!.holder!, fingerprint: "f", view };
    const record = (isFirst: boolean) => {
        const { organisation, attempt } = simulation.request(isFirst);
        return holder.record({ ...fields, organisation, attempt, isFirst }).kind;
    };
    assert.is(record(false), "unvouched");
    assert.is(record(true), "recorded");
    assert.is(record(true), "exists");
});

// Guards against fleets too small for three holders that refuse requests or run a key twice.
test("fleets of one to three instances", async () => {
    for (const seats of [1, 2, 3]) {
        const simulation = await startSimulation({ seats, zones: 1 });
        const key = simulation.key();
        assert.is((await runToCompletion(simulation, simulation.attempt("i0", key, true))).kind, "run");
        assert.is((await runToCompletion(simulation, simulation.attempt(`i${seats - 1}`, key))).kind, "repeat");
        simulation.kill("i0");
        const other = simulation.key();
        await runToCompletion(simulation, simulation.sleep(2_500).then(() => simulation.replace("s0", "n0")), 5_000);
        await simulation.clock.advance(20_000);
        assert.is(
            (await runToCompletion(simulation, simulation.attempt("n0", key))).kind,
            seats === 1 ? "unknown" : "repeat",
        );
        const late = await runToCompletion(simulation, simulation.attempt("n0", other));
        assert.ok(seats === 1 ? late.kind === "unknown" : late.kind === "run", `${seats}: ${late.kind}`);
        assert.is(simulation.runs.get(key), 1);
    }
});

// Guards against claims that are lost when every instance is replaced gracefully, one after the other.
test("handover keeps claims through a full replacement", async () => {
    for (const hasSuccessor of [true, false]) {
        const simulation = await startSimulation();
        const keys = Array.from({ length: 50 }, () => simulation.key());
        await runToCompletion(simulation, Promise.all(keys.map(key => simulation.attempt("i0", key, true))));
        for (let index = 0; index < 6; index++) {
            const name = `n${index}`;
            const { id: seat, epoch } = simulation.roster.seats[index]!;
            simulation.start(name);
            const handOver = simulation.at(`i${index}`).claims!.handOver(
                hasSuccessor ? simulation.at(name).name : undefined,
            );
            assert.ok(await runToCompletion(simulation, handOver, 1_000));
            simulation.changeSeat(seat, { holder: simulation.at(name).name, epoch: epoch + 1 });
            // A successor can act at once; without one, the new holder synchronises first.
            await simulation.clock.advance(hasSuccessor ? 500 : 6_000);
            simulation.kill(`i${index}`);
        }
        for (const key of keys) {
            assert.is((await runToCompletion(simulation, simulation.attempt("n3", key), 400)).kind, "repeat");
        }
        assert.is(simulation.doubleRuns(), 0);
    }
});

// Guards against a caller that waits for a dead holder, and against large responses that fill the holders' memory.
test("complete does not wait for dead holders and drops a large response", async () => {
    const simulation = await startSimulation();
    const key = simulation.key();
    const decision = await runToCompletion(
        simulation,
        simulation.at(findNonHolder(simulation, key)).gate.begin(simulation.request(true), key),
    );
    holdersOf(simulation, key).slice(0, 2).forEach(each => simulation.kill(each.name));
    assert.is(decision.kind, "run");
    let isDone = false;
    const body = new Uint8Array(64 * 1024 + 1);
    if (decision.kind === "run") {
        void decision.claim.complete({ status: 200, headers: [], body }).then(() => isDone = true);
    }
    await simulation.clock.advance(60);
    assert.ok(isDone);
    assert.is(
        (await runToCompletion(simulation, simulation.attempt(holdersOf(simulation, key)[2]!.name, key))).kind,
        "ran-without-answer",
    );
});

test.run();
