// banktide-shell: the operators' command-line client. It queries the fleet's state
// from any registry's operator interface, with one command or line by line, prints
// text or JSON, and uses the operators' streams. Exit codes: 0 answered, 1 not
// answered or refused, 2 unknown command, 3 not clear (`maintenance status`).
#include "programs/maintenance_command.hpp"
#include "programs/process.hpp"
#include "state/placement.hpp"
#include "transport/http_edge.hpp"

#include <cpprest/rawptrstream.h>
#include <histedit.h>
#include <iomanip>
#include <unistd.h>

using namespace banktide;

namespace {

struct Query {
  char const* name;
  char const* target;
  char const* rows;     // the field of the answer that has the rows
  char const* columns;  // of the printed table
  char const* what;
};

constexpr Query queries[] = {
    {"members", "/fleet", "members", "id cell role standing incarnation address", "processes of the registry's cell"},
    {"backends", "/fleet", "backends", "service instance node port burden standing",
     "backends of the registry's cell, with their burden"},
    {"cells", "/fleet", "cells", "cell gateways offers", "the other cells, as this one sees them"},
    {"nodes", "/nodes", "nodes", "node cell gateway ready routing catalogue mishaps",
     "every node, and the revisions it has in force"},
    {"standings", "/nodes", "local", "cell node service instance standing burden in_flight",
     "every backend, as the node beside it knows it"},
    {"leases", "/nodes", "leases", "cell node service slice instance epoch in_flight wanted ends_in_ms",
     "every slice's lease"},
    {"budget", "/nodes", "budget", "cell node firsts extras extra_tries taken in_flight",
     "calls, and the extra tries of the last 10 s"},
    {"voters", "/control/status", "voters", "address condition",
     "the voters of the register; --json adds how many losses they can still bear"},
    {"moves", "/moves", "slices", "service slices should by cell node state in_flight waits_for",
     "where each slice is, and what a move waits for"},
    {"ways", "/routing", "ways", "prefix service", "ways of the newest routing revision"},
    {"routing", "/routing", "", "", "the newest routing revision, as it was sent"},
    {"catalogue", "/catalogue", "", "", "the newest catalogue, as it was sent"},
    {"mishaps", "/mishaps", "mishaps", "at_ms what step peer reason", "the registry's last mishaps"},
};

std::string field_text(Json const& v) {
  if (v.is_null()) return "-";
  if (v.is_string()) return v.get<std::string>().empty() ? "-" : v.get<std::string>();
  if (v.is_array() && v.size() == 2 && v[0].is_number() && v[1].is_number()) return v[0].dump() + ".." + v[1].dump();
  if (v.is_array()) {
    std::string out;
    for (Json const& e : v) out += (out.empty() ? "" : ",") + (e.is_object() ? e.value("id", e.dump()) : field_text(e));
    return out.empty() ? "-" : out;
  }
  return v.dump();
}

// Collects the rows of one kind from an answer; in the whole fleet's state they are nested in zones and nodes.
Json rows_of(Json const& answer, std::string const& what) {
  if (!answer.contains("cells") || answer.contains(what)) return answer.value(what, Json::array());
  Json rows = Json::array();
  for (Json const& zone : answer["cells"])
    for (Json node : zone.value("nodes", Json::array())) {
      if (what == "nodes") {
        rows.push_back(node);
        continue;
      }
      Json parts = node.value(what, Json::array());
      if (parts.is_object()) {
        parts.update(node.value("calls", Json::object()));
        parts = Json::array({parts});
      }
      for (Json row : parts) {
        row["node"] = node["node"];
        row["cell"] = node["cell"];
        rows.push_back(row);
      }
    }
  return rows;
}

void print_table(Json const& rows, std::string const& columns) {
  std::vector<std::string> names;
  std::stringstream in(columns);
  for (std::string c; in >> c;) names.push_back(c);
  std::vector<std::vector<std::string>> lines{names};
  for (Json const& row : rows) {
    lines.emplace_back();
    for (std::string const& c : names) lines.back().push_back(field_text(row.contains(c) ? row[c] : Json()));
  }
  std::vector<std::size_t> widths(names.size(), 0);
  for (std::vector<std::string> const& line : lines)
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  for (std::vector<std::string> const& line : lines) {
    std::string out;
    for (std::size_t i = 0; i < line.size(); ++i)
      out += line[i] + (i + 1 < line.size() ? std::string(widths[i] - line[i].size() + 2, ' ') : "");
    std::cout << out << "\n";
  }
}

class Shell {
 public:
  Shell(Process& p, SocketEnvironment& env, std::vector<Address> registries, bool const json)
      : process_(p), env_(env), caller_(env), registries_(std::move(registries)), json_(json) {}

  int run(std::vector<std::string> const& words) {
    if (words.empty()) return 0;
    if (words[0] == "help") return help();
    if (words[0] == "decisions") return watch(words);
    if (words[0] == "send") return send(words);
    if (words[0] == "put") return put(words);
    if (words[0] == "place") return place(words);
    if (words[0] == "maintenance") return maintenance(words);
    for (Query const& q : queries)
      if (words[0] == q.name) return words.size() > 1 ? usage_error(words[0] + " takes nothing more") : ask(q);
    return usage_error("no such question: " + words[0] + "; try help");
  }

 private:
  int help() {
    for (Query const& q : queries) std::cout << "  " << std::left << std::setw(11) << q.name << q.what << "\n";
    std::cout
        << "  decisions [service=S] [decision=stay|cross|drop] [cell=C] [after=WORD] [lines=N]   calls as they are decided\n"
           "  send FILE|-         changes, a JSON object a line, each with its verdict as it falls\n"
           "  put routing|catalogue FILE   a whole new revision\n"
           "  place FILE          a catalogue that meets the file's constraints, with the fewest moves\n"
           "  maintenance mark ZONE --opens-in S --lasts S [--lead S] [--allow-second] [--force]\n"
           "  maintenance status [ZONE]   windows, and what is still in their zones\n"
           "  maintenance end ZONE        cancels a window or ends it early\n";
    return 0;
  }

  int usage_error(std::string const& why) {
    std::cerr << "banktide-shell: " << why << "\n";
    return 2;
  }
  int report_error(std::string const& step, std::string const& peer, std::string const& why) {
    std::cerr << "banktide-shell: " << log_line("mishap", {{"step", step}, {"peer", peer}, {"reason", why}}) << "\n";
    return 1;
  }

  // Sends a request to the registries in order, until one answers.
  Result<HttpReply> http(HttpRequest const& q) {
    Result<HttpReply> r = make_error("connect", "", "no registry", Proof::not_run);
    for (Address const& registry : registries_) {
      std::promise<Result<HttpReply>> p;
      process_.run_on_thread([&]() {
        asio::co_spawn(env_.executor(), caller_.run_at(registry, q, env_.now() + 8s),
                       [&](std::exception_ptr e, Result<HttpReply> got) {
                         p.set_value(e ? Result<HttpReply>(make_error("http", registry, "exception")) : std::move(got));
                       });
        return true;
      });
      r = p.get_future().get();
      answering_registry_ = registry;
      if (r || r.error().proof != Proof::not_run) break;
    }
    return r;
  }

  int ask(Query const& query) {
    HttpRequest const q{"GET", query.target, {}, ""};
    Result<HttpReply> const r = http(q);
    if (!r) return report_error(r.error().step, r.error().peer, r.error().reason);
    if (r->status != 200) return report_error("answer", answering_registry_, std::to_string(r->status) + " " + r->body);
    std::string const rows = query.rows;
    if (rows.empty()) {
      std::cout << r->body << "\n";
      return 0;
    }
    Json const answer = Json::parse(r->body, nullptr, false);
    if (!answer.is_object()) return report_error("read_answer", answering_registry_, "not an object");
    Json const found = rows_of(answer, rows);
    if (json_)
      std::cout << found.dump(1) << "\n";
    else
      print_table(found, query.columns);
    Json silent = answer.value("silent", Json::array());
    for (Json const& zone : answer.value("cells", Json::array()))
      for (Json const& s : zone.value("silent", Json::array())) silent.push_back(s);
    for (Json const& s : silent) std::cerr << "banktide-shell: no answer from " << field_text(s) << "\n";
    return 0;
  }

  int put(std::vector<std::string> const& words) {
    if (words.size() != 3 || (words[1] != "routing" && words[1] != "catalogue"))
      return usage_error("put routing|catalogue FILE");
    std::optional<std::string> const bytes = file_bytes(words[2]);
    if (!bytes) return report_error("read_file", words[2], "can't be read");
    HttpRequest const q{"PUT", "/" + words[1], {{"Content-Type", "application/json"}}, *bytes};
    Result<HttpReply> const r = http(q);
    if (!r) return report_error(r.error().step, r.error().peer, r.error().reason);
    std::cout << r->body;
    return r->status == 200 ? 0 : 1;
  }

  int maintenance(std::vector<std::string> const& words) {
    tl::expected<MaintenanceCommand, std::string> const command = parse_maintenance_command(words);
    if (!command) return usage_error(command.error());
    Result<HttpReply> const r = http(command->request);
    if (!r) return report_error(r.error().step, r.error().peer, r.error().reason);
    if (r->status != 200) return report_error("answer", answering_registry_, std::to_string(r->status) + " " + r->body);
    Json const windows = windows_in_reply(*command, *r);
    if (json_)
      std::cout << windows.dump(1) << "\n";
    else
      print_table(windows, "id zone phase left_s requests backends rows clear");
    return maintenance_exit_code(*command, *r);
  }

  static std::optional<std::string> file_bytes(std::string const& path) {
    std::ifstream in(path);
    std::stringstream all;
    all << in.rdbuf();
    if (!in) return std::nullopt;
    return all.str();
  }

  // Prints a catalogue only; `put` applies it.
  int place(std::vector<std::string> const& words) {
    if (words.size() != 2) return usage_error("place FILE");
    std::optional<std::string> const constraints = file_bytes(words[1]);
    if (!constraints) return report_error("read_file", words[1], "can't be read");
    HttpRequest const q{"GET", "/routing", {}, ""}, c{"GET", "/catalogue", {}, ""};
    Result<HttpReply> const routing = http(q);
    if (!routing) return report_error(routing.error().step, routing.error().peer, routing.error().reason);
    if (routing->status != 200)
      return report_error("answer", answering_registry_, std::to_string(routing->status) + " " + routing->body);
    Result<HttpReply> const catalogue = http(c);
    if (!catalogue) return report_error(catalogue.error().step, catalogue.error().peer, catalogue.error().reason);
    if (catalogue->status != 200 && catalogue->status != 404)
      return report_error("answer", answering_registry_, std::to_string(catalogue->status) + " " + catalogue->body);
    Result<Layout> const layout = Layout::read(routing->body);
    if (!layout) return report_error(layout.error().step, answering_registry_, layout.error().reason);
    Result<std::string> const placed =
        Placement::solve(*constraints, *layout, catalogue->status == 200 ? catalogue->body : "");
    if (!placed) return report_error(placed.error().step, placed.error().peer, placed.error().reason);
    std::cout << *placed << "\n";
    return 0;
  }

  // Reads a reply line by line as it arrives; `line` returns whether to go on.
  template <class F>
  int read_lines(std::string const& target, F line) {
    try {
      web::http::client::http_client_config config;
      config.set_timeout(std::chrono::hours(24));
      web::http::client::http_client client(web::uri("http://" + registries_.front()), config);
      web::http::http_response r = client.request(web::http::methods::GET, target).get();
      if (r.status_code() != 200)
        return report_error("answer", registries_.front(),
                            std::to_string(r.status_code()) + " " + r.extract_utf8string(true).get());
      concurrency::streams::streambuf<unsigned char> in = r.body().streambuf();
      std::string buffer;
      while (in.getc().get() >= 0) {
        std::vector<unsigned char> raw(std::max<std::size_t>(1, std::min<std::size_t>(in.in_avail(), 65536)));
        std::size_t const got = in.getn(raw.data(), raw.size()).get();
        buffer.append(reinterpret_cast<char const*>(raw.data()), got);
        for (std::size_t end = 0; (end = buffer.find('\n')) != std::string::npos; buffer.erase(0, end + 1))
          if (!line(buffer.substr(0, end))) return 0;
      }
      return 0;
    } catch (std::exception const& e) {
      return report_error("read_lines", registries_.front(), e.what());
    }
  }

  int watch(std::vector<std::string> const& words) {
    std::string query;
    std::uint64_t left = 0;
    for (std::size_t i = 1; i < words.size(); ++i) {
      std::size_t const at = words[i].find('=');
      std::string const name = words[i].substr(0, at);
      if (at == std::string::npos) return usage_error("decisions takes name=value");
      if (name == "lines")
        left = std::strtoull(words[i].c_str() + at + 1, nullptr, 10);
      else
        query += (query.empty() ? "?" : "&") + words[i];
    }
    bool const bounded = left > 0;
    return read_lines("/decisions" + query, [&](std::string const& line) {
      Json const j = Json::parse(line, nullptr, false);
      if (json_) {
        std::cout << line << "\n";
      } else if (j.contains("pulse")) {
        return true;
      } else if (j.contains("gap")) {
        std::cout << "gap " << j.value("node", "") << " "
                  << (j.contains("lost") ? j["lost"].dump() + " lost" : j.value("reason", "")) << "\n";
      } else {
        std::cout << j.value("decision", "") << " " << j.value("service", "")
                  << (j.contains("slice") ? "/" + j["slice"].dump() : "") << " at " << j.value("node", "") << " to "
                  << j.value("cell", "") << " " << j.value("peer", "") << " routing " << j.value("routing", 0)
                  << " catalogue " << j.value("catalogue", 0) << ": " << j.value("reason", "") << "\n";
      }
      std::cout.flush();
      return !bounded || --left > 0;
    });
  }

  // The HTTP library answers a request only after its body has ended, so the verdicts
  // are read with a second request.
  int send(std::vector<std::string> const& words) {
    if (words.size() != 2) return usage_error("send FILE, or send - for standard input");
    std::ifstream file;
    if (words[1] != "-") {
      file.open(words[1]);
      if (!file) return report_error("read_file", words[1], "can't be read");
    }
    std::istream& in = words[1] == "-" ? std::cin : file;
    std::string const name = "shell-" + std::to_string(std::random_device{}()) + std::to_string(::getpid());
    std::uint64_t refused = 0;
    int out = 0;
    std::thread verdicts([&] {
      out = read_lines("/verdicts?stream=" + name, [&](std::string const& line) {
        Json const j = Json::parse(line, nullptr, false);
        if (j.contains("pulse")) return true;
        refused += j.value("verdict", "") != "acknowledged";
        std::cout << line << std::endl;
        return true;
      });
    });
    concurrency::streams::producer_consumer_buffer<unsigned char> body;
    int code = 0;
    try {
      web::http::client::http_client_config config;
      config.set_timeout(std::chrono::hours(24));
      web::http::client::http_client client(web::uri("http://" + registries_.front()), config);
      web::http::http_request q(web::http::methods::POST);
      q.set_request_uri(web::uri("/changes?stream=" + name));
      q.set_body(body.create_istream(), "application/x-ndjson");
      pplx::task<web::http::http_response> sent = client.request(q);
      for (std::string line; std::getline(in, line);) {
        line += '\n';
        body.putn_nocopy(reinterpret_cast<unsigned char const*>(line.data()), line.size()).wait();
        body.sync().wait();
      }
      body.close(std::ios_base::out).wait();
      web::http::http_response r = sent.get();
      if (r.status_code() != 200)
        code = report_error("send", registries_.front(),
                            std::to_string(r.status_code()) + " " + r.extract_utf8string(true).get());
    } catch (std::exception const& e) {
      code = report_error("send", registries_.front(), e.what());
    }
    if (code != 0) std::_Exit(code);
    verdicts.join();
    return out != 0 || refused > 0 ? 1 : 0;
  }

  Process& process_;
  SocketEnvironment& env_;
  HttpClient<SocketEnvironment> caller_;
  std::vector<Address> const registries_;
  Address answering_registry_;
  bool const json_;
};

std::vector<std::string> words_of(std::string const& line) {
  std::vector<std::string> words;
  std::stringstream in(line);
  for (std::string w; in >> w;) words.push_back(w);
  return words;
}

// The flags of a command are parsed with the program's own; `command_words` appends them to the command again.
void define_command_flags(Settings& s) {
  for (char const* const name : {"opens-in", "lasts", "lead"}) s.text(name, "", "seconds, of maintenance mark");
  s.flag("allow-second", "of maintenance mark: also if another zone is under maintenance then");
  s.flag("force", "of maintenance mark: also if the other zones have too little room, or time is short");
}
std::vector<std::string> command_words(Settings const& s) {
  std::vector<std::string> words = s.list("ask");
  for (std::string const name : {"opens-in", "lasts", "lead"})
    if (!s.text(name).empty()) words.insert(words.end(), {"--" + name, s.text(name)});
  for (std::string const name : {"allow-second", "force"})
    if (s.flag(name)) words.push_back("--" + name);
  return words;
}

int run_prompt(Shell& shell) {
  EditLine* const editor = el_init("banktide-shell", stdin, stdout, stderr);
  ::History* const history = history_init();
  HistEvent event;
  ::history(history, &event, H_SETSIZE, 500);
  el_set(
      editor, EL_PROMPT, +[](EditLine*) -> char const* { return "banktide> "; });
  el_set(editor, EL_EDITOR, "emacs");
  el_set(editor, EL_HIST, ::history, history);
  int code = 0, count = 0;
  while (char const* const raw = el_gets(editor, &count)) {
    std::vector<std::string> const words = words_of(raw);
    if (words.empty()) continue;
    ::history(history, &event, H_ENTER, raw);
    if (words[0] == "quit" || words[0] == "exit") break;
    code = shell.run(words);
  }
  history_end(history);
  el_end(editor);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  Settings s("banktide-shell");
  s.list("registry", "ip:port of a registry's operator door; repeat, the first that answers is asked");
  s.flag("json", "answers as JSON");
  s.list("ask", "a question; without one the shell reads questions line by line");
  s.positional_list("ask");
  define_command_flags(s);
  s.require_addresses("registry", 1);
  if (std::optional<int> const code = s.read(argc, argv)) return *code;
  start_logging("OFF", "banktide-shell", "shell");
  Process process;
  SocketEnvironment env;
  Shell shell(process, env, s.list("registry"), s.flag("json"));
  int code = 0;
  if (!s.list("ask").empty()) {
    code = shell.run(command_words(s));
  } else if (::isatty(0)) {
    code = run_prompt(shell);
  } else {
    for (std::string line; code == 0 && std::getline(std::cin, line);) code = shell.run(words_of(line));
  }
  std::cout.flush();
  std::_Exit(code);
}
