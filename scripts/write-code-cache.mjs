// Writes V8's code cache of the router's bundle; the arguments are the Node.js flags of the router's command.
import { CodeCacheRun } from '../packages/stand-ins/src/deployment/code-cache-run.ts';

await new CodeCacheRun(process.argv.slice(2)).run();
