/** Runs one upstream stand-in as a process: `node upstream-main.js ID PORT SLOTS SERVICE_MS`. */
import process from "node:process";
import { startUpstream } from "./upstream.js";

const [upstreamId, port, slots, serviceMs] = process.argv.slice(2);
const upstream = await startUpstream({
    upstreamId: upstreamId ?? "upstream",
    port: Number(port ?? 0),
    slots: Number(slots ?? 3),
    serviceMs: Number(serviceMs ?? 5),
});
process.stdout.write(`listening ${upstream.address}\n`);
// Standard input closes when the parent ends, so that no stand-in outlives its demo or test.
process.stdin.on("end", () => process.exit(0)).resume();
