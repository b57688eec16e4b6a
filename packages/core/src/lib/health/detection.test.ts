import { test } from "uvu";
import * as assert from "uvu/assert";
import { Evidence } from "./evidence.js";
import { LocalObserver } from "./local-observer.js";
import { detectOutliers } from "./outlier-detection.js";
import { defaultHealthSettings } from "./settings.js";
import { type FakeUpstream, TestFleet, testRoutes } from "./test-fleet.js";

const limitMs = 2_000;

interface Detection {
    readonly pooledMs: number;
    /** Time by which half of the instances detected the fault on their own evidence; Infinity if not within the run. */
    readonly localMs: number;
}

/** Detection by each instance on its own evidence, for comparison in the same run. */
const detectLocally = (fleet: TestFleet, target: FakeUpstream) => {
    const settings = defaultHealthSettings;
    const found = new Set<number>();
    const instances = fleet.healths.map(() => ({
        observer: new LocalObserver(settings, () => fleet.clock.monotonicMs()),
        evidence: new Evidence(settings.halfLives, 0, ({ instance }) => instance),
    }));
    fleet.onResult = (instance, upstream, route, latencyMs, result) =>
        instances[instance]!.observer.startObservation(upstream.id, route).end(result, latencyMs);
    return () => {
        instances.forEach(({ observer, evidence }, index) => {
            const membership = fleet.contexts[index]!.membership;
            evidence.add(
                { instance: membership.self, zone: membership.zone },
                observer.takeEntries(),
                fleet.clock.monotonicMs(),
            );
            if (detectOutliers(evidence, settings, false).some(({ upstream }) => upstream === target.listed.id)) {
                found.add(index);
            }
        });
        return found.size;
    };
};

const detect = async (
    shape: { readonly zones: number; readonly upstreams: number; readonly slots: number; },
    seed: number,
    fault: (target: FakeUpstream) => void,
): Promise<Detection> => {
    const fleet = new TestFleet({ ...shape, instances: 44, seed });
    const target = fleet.upstreams[seed % shape.upstreams]!;
    fleet.startLoad(0.5);
    await fleet.clock.advance(10_000);
    assert.is(fleet.ejectedTargets().size, 0);
    const countLocal = detectLocally(fleet, target);
    fault(target);
    let pooledMs = Infinity;
    let localMs = Infinity;
    for (let timeMs = 50; timeMs <= 6_000; timeMs += 50) {
        await fleet.clock.advance(50);
        const route = target.failingRoute ?? testRoutes[0]!;
        if (pooledMs === Infinity && fleet.healths.every(health => health.weight(target.listed, route) === 0)) {
            pooledMs = timeMs;
        }
        if (timeMs % 250 === 0 && localMs === Infinity && countLocal() >= 22) {
            localMs = timeMs;
        }
    }
    const others = [...fleet.ejectedTargets()].filter(key => !key.startsWith(`${target.listed.id}|`));
    assert.equal(others, []);
    if (target.failingRoute !== undefined) {
        assert.equal([...fleet.ejectedTargets()], [`${target.listed.id}|${target.failingRoute}`]);
    }
    return { pooledMs, localMs };
};

const shapes = [
    { zones: 3, upstreams: 6, slots: 3 },
    { zones: 4, upstreams: 8, slots: 2 },
];
const faults: readonly (readonly [string, (target: FakeUpstream) => void])[] = [
    ["10 times slower", target => target.slowFactor = 10],
    ["one failing route", target => target.failingRoute = testRoutes[1]],
    ["5xx", target => target.fault = "5xx"],
    ["truncated", target => target.fault = "truncated"],
    ["crossed", target => target.fault = "crossed"],
];
const seeds = [1, 2, 3, 4, 5];

for (const shape of shapes) {
    for (const [name, fault] of faults) {
        // Guards against evidence that is too sparse or too slow to eject a faulty upstream at every instance in time.
        test(`detects ${name} on ${shape.upstreams}x${shape.slots}`, async () => {
            const found: Detection[] = [];
            for (const seed of seeds) {
                found.push(await detect(shape, seed, fault));
            }
            const pooled = found.map(({ pooledMs }) => pooledMs);
            const local = found.map(({ localMs }) => localMs);
            console.log(
                `${name}, ${shape.zones} zones, ${shape.upstreams}x${shape.slots}: pooled, all 44: ${
                    pooled.join(" ")
                } ms;`
                    + ` local only, half of 44: ${local.join(" ")} ms`,
            );
            assert.ok(Math.max(...pooled) <= limitMs);
        });
    }
}

test.run();
