/** Runs one entry instance: `node main.js SETTINGS_FILE`. */
import { bySchema, readSettings } from "@sniperoad/operator";
import process from "node:process";
import { startDaemon } from "./daemon.js";
import { settingsSchema } from "./settings.js";

const [file] = process.argv.slice(2);
if (file === undefined) {
    process.stderr.write("usage: main.js SETTINGS_FILE; name the instance's settings file\n");
    process.exit(2);
}
try {
    const daemon = await startDaemon(await readSettings(file, bySchema(settingsSchema)));
    const stop = () => {
        daemon.stop().then(() => process.exit(0), () => process.exit(1));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}
catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(2);
}
