/** `npm run soak -- --seed N [--seconds N] [--routers N] [--seeds N]
 * [--grace N] [--stop-callers N] [--one-core]`: exits with 1 if an invariant was violated. */
import { cac } from 'cac';

import { Soak } from './soak';

const cli = cac('soak');
cli
  .command('')
  .option('--seed <seed>', 'first seed', { default: 1 })
  .option('--seeds <count>', 'number of consecutive seeds to run', {
    default: 1,
  })
  .option('--seconds <seconds>', 'duration of the run of one seed', {
    default: 10,
  })
  .option('--routers <count>', 'number of routers', { default: 4 })
  .option('--grace <seconds>', 'time from SIGTERM to SIGKILL', { default: 4 })
  .option('--stop-callers <count>', 'connections to each router at its stops', {
    default: 4,
  })
  .option('--one-core', 'run all routers on one processor core')
  .action(async (options: Record<string, string | number | boolean>) => {
    const [first, count] = [Number(options.seed), Number(options.seeds)];
    const seconds = Number(options.seconds);
    const routers = Number(options.routers);
    const graceSeconds = Number(options.grace);
    const stopCallers = Number(options.stopCallers);
    for (let seed = first; seed < first + count; seed += 1) {
      const result = await new Soak({
        ...{ seed, seconds, routers, graceSeconds, stopCallers },
        isOnOneCore: options.oneCore === true,
      }).run();
      const { violations, folder, ...rest } = result;
      console.log(JSON.stringify({ seed, ...rest, violations }));
      if (violations.length > 0) {
        console.log(`logs: ${folder}`);
        process.exitCode = 1;
      }
    }
  });
cli.help();
cli.parse();
