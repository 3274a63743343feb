#ifndef GUAVACROSS_STANDIN_LOAD_COMMAND_H_
#define GUAVACROSS_STANDIN_LOAD_COMMAND_H_

namespace guavacross::standin {

/// `guavacross-standin load`: sends open-loop load to entry instances, or
/// directly to servers, and prints the results as JSON.
///
/// `argv[0]` is the command's name. Returns the exit code: 2 if the flags are
/// invalid, otherwise 0.
int RunLoadCommand(int argc, char** argv);

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_LOAD_COMMAND_H_
