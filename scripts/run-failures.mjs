// Runs a fleet of real processes under load while a router is killed and the
// connections of an engine are cut, and checks every response against the
// executions that the engines and services recorded.
// Usage: node scripts/run-failures.mjs [--seconds 60] [--seed 7] [--settings deploy/sellada.ini]
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

const PROGRAM = 'dist/sesamegrade';
const ROUTER_COUNT = 3;
const ENGINE_COUNT = 6;
const SERVICE_COUNT = 3;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const OPERATOR_TOKEN = 'operator-token-of-this-run';
const JSON_HEADERS = { 'content-type': 'application/json' };

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '60' },
    seed: { type: 'string', default: '7' },
    settings: { type: 'string', default: 'deploy/sellada.ini' },
  },
});
const seconds = Number(values.seconds);
const workFolder = mkdtempSync(join(tmpdir(), 'sesamegrade-'));
const children = new Set();

function start(args) {
  const child = spawn(PROGRAM, args, {
    stdio: ['ignore', 'pipe', 'ignore'],
    env: {
      ...process.env,
      SESAMEGRADE_PEER_SECRET: 'peer-secret-of-this-run',
      SESAMEGRADE_OPERATOR_TOKEN: OPERATOR_TOKEN,
    },
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

/** Starts a process and resolves to it and to the first line that it prints, parsed as JSON. */
async function startAndReadFirstLine(args) {
  const child = start(args);
  let text = '';
  for await (const chunk of child.stdout) {
    text += chunk;
    if (text.includes('\n')) {
      break;
    }
  }
  return { child, firstLine: JSON.parse(text.split('\n')[0]) };
}

function freePort() {
  return new Promise(resolve => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function post(url, body) {
  return fetch(url, {
    method: 'POST',
    headers: JSON_HEADERS,
    body: JSON.stringify(body),
  });
}

const zoneOf = index => ZONES[index % ZONES.length];

async function startRouter(index, platform) {
  const [callers, peers, operators] = await Promise.all([
    freePort(),
    freePort(),
    freePort(),
  ]);
  const file = join(workFolder, `router-${index}.ini`);
  const routerSettings = readFileSync(values.settings, 'utf8')
    .replace(/^id = .*$/mu, `id = router-${index}`)
    .replace(/^zone = .*$/mu, `zone = ${zoneOf(index)}`)
    .replace(/^caller_port = .*$/mu, `caller_port = ${callers}`)
    .replace(/^peer_port = .*$/mu, `peer_port = ${peers}`)
    .replace(/^operator_port = .*$/mu, `operator_port = ${operators}`)
    .replace(/^url = .*$/mu, `url = ${platform}`);
  writeFileSync(file, routerSettings);
  await post(`${platform}/control/vms`, {
    action: 'register',
    entry: {
      vm: `router-${index}`,
      kind: 'router',
      host: '127.0.0.1',
      port: peers,
      zone: zoneOf(index),
      state: 'live',
      incarnation: 1,
      capacity: 0,
    },
  });
  const { child } = await startAndReadFirstLine(['router', '--settings', file]);
  const url = `http://127.0.0.1:${callers}`;
  while (!(await fetch(`${url}/readyz`)).ok) {
    await sleep(50);
  }
  return { child, url, operators: `http://127.0.0.1:${operators}` };
}

/** Starts an engine behind a fault proxy and resolves to the URL of the proxy's control port. */
async function startEngineBehindProxy(vm, platform, models) {
  const port = await freePort();
  const controlPort = await freePort();
  const proxyPort = await freePort();
  await startAndReadFirstLine([
    'stand-in',
    'fault-proxy',
    `--port=${proxyPort}`,
    `--control-port=${controlPort}`,
    `--target=127.0.0.1:${port}`,
  ]);
  await startAndReadFirstLine([
    ...['stand-in', 'engine', `--vm=${vm}`, `--port=${port}`],
    ...[`--platform=${platform}`, `--models=${models}`],
    ...[`--advertise=127.0.0.1:${proxyPort}`, `--zone=${ZONES[0]}`],
    '--tokens-per-second=40',
  ]);
  return `http://127.0.0.1:${controlPort}`;
}

async function run() {
  const settings = readFileSync(values.settings, 'utf8');
  const models = /^models = (.*)$/mu.exec(settings)[1];
  const service = /\[service\.([a-z-]+)\]\nkind = service/u.exec(settings)[1];
  const teams = [...settings.matchAll(/^\[team\.(.+)\]$/gmu)].map(m => m[1]);
  const keys = teams.map(team => `${team}=demo-key-${team}`).join();
  const { firstLine } = await startAndReadFirstLine(['stand-in', 'platform']);
  const platform = `http://127.0.0.1:${firstLine.port}`;
  const proxy = await startEngineBehindProxy('engine-1', platform, models);
  for (let index = 2; index <= ENGINE_COUNT; index += 1) {
    await startAndReadFirstLine([
      ...['stand-in', 'engine', `--vm=engine-${index}`],
      ...[`--platform=${platform}`, `--models=${models}`],
      ...[`--zone=${zoneOf(index)}`, '--tokens-per-second=40'],
    ]);
  }
  for (let index = 1; index <= SERVICE_COUNT; index += 1) {
    await startAndReadFirstLine([
      ...['stand-in', 'service', `--vm=service-${index}`],
      ...[`--service=${service}`, `--platform=${platform}`],
      `--zone=${zoneOf(index)}`,
    ]);
  }
  await sleep(1500);
  const routers = [];
  for (let index = 1; index <= ROUTER_COUNT; index += 1) {
    routers.push(await startRouter(index, platform));
  }
  await sleep(1500);
  const load = start([
    ...['load', `--routers=${routers.map(({ url }) => url).join()}`],
    `--operators=${routers.map(({ operators }) => operators).join()}`,
    ...[`--platform=${platform}`, `--keys=${keys}`, `--services=${service}`],
    ...[`--models=${models}`, `--seconds=${seconds}`, `--seed=${values.seed}`],
  ]);
  load.stdout.pipe(process.stdout);
  await sleep((seconds / 3) * 1000);
  routers[1].child.kill('SIGKILL');
  console.error('router-2 killed with SIGKILL');
  await sleep((seconds / 4) * 1000);
  for (const fault of [{ cutAfterBytes: 3000 }, { reset: true }, {}]) {
    const response = await post(proxy, fault);
    console.error(`connections of engine-1: ${await response.text()}`);
    await sleep(2000);
  }
  const status = await new Promise(resolve => load.once('exit', resolve));
  console.error(`load ended with exit code ${status}`);
  return status;
}

try {
  process.exitCode = await run();
} finally {
  for (const child of children) {
    child.kill('SIGTERM');
  }
  await sleep(1500);
  for (const child of children) {
    child.kill('SIGKILL');
  }
  rmSync(workFolder, { recursive: true });
}
