import { test } from "uvu";
import * as assert from "uvu/assert";
import { LoadGenerator } from "./load-generator.fixture.js";
import { defaultBalanceSettings } from "./settings.js";

const shape = { instances: 44, zones: 3, upstreams: 6, slots: 3 };
const runMs = 20_000;

const simulate = async (mode: "permits" | "local", load: number, queueLimit: number) => {
    const generator = new LoadGenerator({ ...shape, seed: 41, queueLimit }, { mode });
    generator.offer("a", generator.fleet.ratePerSecond * load, runMs);
    await generator.fleet.clock.advance(runMs + 3_000);
    const result = {
        p50Ms: generator.percentileMs(0.5),
        p99Ms: generator.percentileMs(0.99),
        shedShare: generator.shed / generator.dispatched,
        servedShare: generator.total("served") / generator.total("sent"),
    };
    console.log(
        `${mode}, load ${load * 100}%, upstream queue ${queueLimit}: p50 ${result.p50Ms} ms, p99 ${result.p99Ms} ms, `
            + `shed ${(result.shedShare * 100).toFixed(2)}%, served ${(result.servedShare * 100).toFixed(2)}%, `
            + `refused ${JSON.stringify(Object.fromEntries(generator.refusals))}`,
    );
    return result;
};

for (const load of [0.5, 0.9]) {
    for (const queueLimit of [0, 3]) {
        // Guards against 44 instances that together send 18 slots more requests than they can take, and against a
        // default mode with worse results than the other mode.
        test(`permits shed less at ${load * 100}% with queues of ${queueLimit}`, async () => {
            const permits = await simulate("permits", load, queueLimit);
            const local = await simulate("local", load, queueLimit);
            assert.is(defaultBalanceSettings.mode, "permits");
            assert.ok(permits.shedShare <= local.shedShare);
            assert.ok(permits.servedShare >= local.servedShare);
            assert.ok(permits.shedShare < 0.001 && permits.servedShare > 0.999);
        });
    }
}

test.run();
